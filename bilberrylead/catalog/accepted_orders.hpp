#ifndef BILBERRYLEAD_CATALOG_ACCEPTED_ORDERS_HPP
#define BILBERRYLEAD_CATALOG_ACCEPTED_ORDERS_HPP

#include "bilberrylead/catalog/order_command.hpp"
#include "bilberrylead/catalog/order_outcome.hpp"
#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/core/ids.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <set>
#include <span>

namespace bilberrylead::catalog
{

/// The operators' orders that are in force, a state machine that every
/// replica runs over the log: the configuration with the highest version,
/// and the closed zones. Beside the catalog of configurations that name
/// their base, for operators who number their configurations themselves. No
/// clock, no randomness. Used by one thread.
class accepted_orders
{
public:
    /// Takes a configuration whose version is higher than the one held.
    order_outcome apply(put_configuration const& command);
    /// Closes or opens a zone.
    order_outcome apply(close_zone const& command);

    /// Number of the state: grows by one with each order that was taken.
    revision current_revision() const
    {
        return this->latest;
    }

    /// Version of the configuration, 0 if there is none yet.
    std::uint64_t version() const
    {
        return this->held_version;
    }

    /// The configuration as its author wrote it; empty if there is none.
    bytes const& document() const
    {
        return this->held_document;
    }

    /// The zones whose upstreams get no work.
    std::set<zone_id> const& closed_zones() const
    {
        return this->closed;
    }

    /// The whole state as bytes; equal states give equal bytes.
    bytes encode() const;
    /// The state that encode() gave; any other bytes are an error.
    static absl::StatusOr<accepted_orders>
    decode(std::span<std::uint8_t const> input);

private:
    revision latest = 0;
    std::uint64_t held_version = 0;
    bytes held_document;
    std::set<zone_id> closed;
};

} // namespace bilberrylead::catalog

#endif
