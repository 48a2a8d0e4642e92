#ifndef BILBERRYLEAD_CATALOG_CATALOG_SETTINGS_HPP
#define BILBERRYLEAD_CATALOG_CATALOG_SETTINGS_HPP

#include <cstddef>

namespace bilberrylead::catalog
{

/// Bounds of the catalog. Part of the replicated state: the same on every
/// replica, so constants of the program and never a host's setting.
struct catalog_settings
{
    /// Changes that the audit trail holds, over 0; also how long a resend
    /// gets its first answer. Two days at 19,000 changes a day. A resend
    /// that comes later meets its outdated base and conflicts: it is never
    /// accepted twice.
    std::size_t audit_window = 40'000;
    /// Revisions kept with their document, the current one included; over
    /// 0.
    std::size_t kept_revisions = 16;
    /// Bytes of documents kept; the current one stays whatever its size.
    std::size_t kept_bytes = std::size_t{32} << 20U;

    friend bool operator==(catalog_settings const&,
                           catalog_settings const&) = default;
};

} // namespace bilberrylead::catalog

#endif
