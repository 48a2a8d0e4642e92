#ifndef BILBERRYLEAD_DAEMON_PEER_BOOK_HPP
#define BILBERRYLEAD_DAEMON_PEER_BOOK_HPP

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/core/ids.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace bilberrylead::link
{
class peer_node;
} // namespace bilberrylead::link

namespace bilberrylead::daemon
{

/// Which control hosts a process keeps links to, where the group forms
/// itself: the seeds of its settings and whoever a linked control host
/// names. Seeds may be stale or dead and a cut-off host's word may be old,
/// so a link is given up only once neither names the host any more.
class peer_book
{
public:
    /// A book of a host at `self`; others have the same peer port. `peers`
    /// must outlive it.
    peer_book(link::peer_node& peers, config::endpoint self);

    /// The seeds of the settings; only their addresses count.
    void set_seeds(std::vector<config::endpoint> const& seeds);

    /// A source (a link, or 0 for the own log) names these hosts.
    void set_named(std::uint64_t source, std::vector<host_id> const& hosts);

    /// A source says nothing any more.
    void forget_source(std::uint64_t source);

private:
    void apply();

    link::peer_node& peers;
    config::endpoint self;
    std::set<config::endpoint> seeds;
    std::map<std::uint64_t, std::set<config::endpoint>> named;
    std::set<config::endpoint> dialled;
};

} // namespace bilberrylead::daemon

#endif
