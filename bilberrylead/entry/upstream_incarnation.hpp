#ifndef BILBERRYLEAD_ENTRY_UPSTREAM_INCARNATION_HPP
#define BILBERRYLEAD_ENTRY_UPSTREAM_INCARNATION_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/discovery/list_position.hpp"

namespace bilberrylead::entry
{

/// One incarnation of an upstream, from which something was learnt. An upstream
/// may start again under its id.
struct upstream_incarnation
{
    /// The upstream.
    upstream_id id;
    /// The listing in which the incarnation stood first; zero if unknown.
    discovery::list_position number;
};

} // namespace bilberrylead::entry

#endif
