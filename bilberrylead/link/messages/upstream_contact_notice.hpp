#ifndef BILBERRYLEAD_LINK_MESSAGES_UPSTREAM_CONTACT_NOTICE_HPP
#define BILBERRYLEAD_LINK_MESSAGES_UPSTREAM_CONTACT_NOTICE_HPP

namespace bilberrylead::link
{

/// An entry host reports whether it has lost its way to all upstreams. While it
/// has, the notice is repeated with the heartbeats, and the control host
/// replies with a relay_host_list.
struct upstream_contact_notice
{
    /// True if no upstream can be reached from the sender.
    bool lost = false;
};

} // namespace bilberrylead::link

#endif
