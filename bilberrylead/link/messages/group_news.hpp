#ifndef BILBERRYLEAD_LINK_MESSAGES_GROUP_NEWS_HPP
#define BILBERRYLEAD_LINK_MESSAGES_GROUP_NEWS_HPP

#include "bilberrylead/link/messages/group_host.hpp"

#include <cstdint>
#include <vector>

namespace bilberrylead::link
{

/// A control host tells who belongs to the system, so that a process that
/// knew only some seeds finds all the others. Sent when a link opens and
/// when it changes.
struct group_news
{
    /// The control hosts that take part in the group, learners too.
    std::vector<group_host> control_hosts;
    /// Entry hosts that are ready, as the sender hears them: what is counted
    /// over all hosts is shared among so many.
    std::uint64_t entry_hosts = 0;
    /// The most of them that stand in one region: what only hosts of a
    /// region use is shared among at most so many.
    std::uint64_t region_entry_hosts = 0;

    friend bool operator==(group_news const&, group_news const&) = default;
};

} // namespace bilberrylead::link

#endif
