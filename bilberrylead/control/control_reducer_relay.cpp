#include "bilberrylead/control/control_reducer.hpp"

/// Relay of what entry hosts tell each other about upstreams.
namespace bilberrylead::control
{

void control_reducer::tell_crashes(link::link_number to)
{
    if (this->crashes.size() > 0)
    {
        this->send(to, link::crash_report{this->crashes.all()});
    }
}

void control_reducer::on_peer(link::link_number from,
                              link::crash_report const& said)
{
    policy::crash_merge const merged =
        this->crashes.merge(said.records, this->time);
    if (!merged.missing_there.empty())
    {
        this->send(from, link::crash_report{merged.missing_there});
    }
    if (merged.learned.empty())
    {
        return;
    }
    for (auto const& [number, peer] : this->links)
    {
        if (number != from)
        {
            this->send(number, link::crash_report{merged.learned});
        }
    }
}

void control_reducer::on_peer(link::link_number from,
                              link::limit_notice const& said)
{
    bool const from_entry = this->links.at(from).role == link::peer_role::entry;
    for (auto const& [number, peer] : this->links)
    {
        bool const is_entry = peer.role == link::peer_role::entry;
        if (number != from && (from_entry || is_entry))
        {
            this->send(number, said);
        }
    }
}

} // namespace bilberrylead::control
