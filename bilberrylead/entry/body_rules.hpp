#ifndef BILBERRYLEAD_ENTRY_BODY_RULES_HPP
#define BILBERRYLEAD_ENTRY_BODY_RULES_HPP

#include <cstddef>

namespace bilberrylead::entry
{

/// What is done with the body of a request before it is decided on.
struct body_rules
{
    /// False if nothing serves such a request: its body is not read.
    bool is_served = false;
    /// Largest body that is taken, bytes.
    std::size_t max_bytes = 0;
    /// True if the whole body must be here first, for its digest.
    bool buffer_body = false;
};

} // namespace bilberrylead::entry

#endif
