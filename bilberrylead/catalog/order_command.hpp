#ifndef BILBERRYLEAD_CATALOG_ORDER_COMMAND_HPP
#define BILBERRYLEAD_CATALOG_ORDER_COMMAND_HPP

#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/core/ids.hpp"

#include <cstdint>

namespace bilberrylead::catalog
{

/// An operator's whole configuration under a version of the operator's own,
/// checked before it was proposed. The highest version is in force.
struct put_configuration
{
    /// The operator's version, over 0.
    std::uint64_t version = 0;
    /// The document as its author wrote it.
    bytes document;

    friend bool operator==(put_configuration const&,
                           put_configuration const&) = default;
};

/// An operator empties an availability zone, or takes it back: the
/// upstreams of a closed zone get no work.
struct close_zone
{
    /// The zone.
    zone_id zone;
    /// True to close it, false to open it again.
    bool closed = true;

    friend bool operator==(close_zone const&, close_zone const&) = default;
};

} // namespace bilberrylead::catalog

#endif
