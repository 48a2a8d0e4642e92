#ifndef BILBERRYLEAD_ENTRY_BODY_RULES_HPP
#define BILBERRYLEAD_ENTRY_BODY_RULES_HPP

#include <cstddef>

namespace bilberrylead::entry
{

/// How the body of a request is read before the reducer handles the request.
struct body_rules
{
    /// False if no route or service matches; the body is then not read.
    bool is_served = false;
    /// Largest accepted body, in bytes.
    std::size_t max_bytes = 0;
    /// True if the complete body must be received before the request is
    /// handled, because its digest is needed.
    bool buffer_body = false;
    /// True if the request may run more than once.
    bool idempotent = false;
};

} // namespace bilberrylead::entry

#endif
