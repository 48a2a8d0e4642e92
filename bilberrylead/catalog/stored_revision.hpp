#ifndef BILBERRYLEAD_CATALOG_STORED_REVISION_HPP
#define BILBERRYLEAD_CATALOG_STORED_REVISION_HPP

#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/core/ids.hpp"

namespace bilberrylead::catalog
{

/// An accepted configuration with its document.
struct stored_revision
{
    /// Its number.
    revision number = 0;
    /// The change that made it.
    change_id change;
    /// The document as its author wrote it.
    bytes document;

    friend bool operator==(stored_revision const&,
                           stored_revision const&) = default;
};

} // namespace bilberrylead::catalog

#endif
