#ifndef BILBERRYLEAD_ENTRY_BODY_RULES_HPP
#define BILBERRYLEAD_ENTRY_BODY_RULES_HPP

#include <cstddef>

namespace bilberrylead::entry
{

/// What is done with the body of a request before it is decided on.
struct body_rules
{
    /// False if nothing serves such a request: its body is not read.
    bool known = false;
    /// Largest body that is taken, bytes.
    std::size_t largest = 0;
    /// True if the whole body must be here first, for its digest.
    bool keep_whole = false;
};

} // namespace bilberrylead::entry

#endif
