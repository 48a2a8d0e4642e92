#include "bilberrylead/control/control_reducer.hpp"

#include "bilberrylead/core/error.hpp"

#include <optional>
#include <utility>

/// Relay of the entry hosts' reports on upstreams to each other, and what entry
/// hosts without upstreams are told.
namespace bilberrylead::control
{

void control_reducer::send_crash_records(link::link_number to)
{
    if (this->crashes.size() > 0)
    {
        this->send(to, link::crash_report{this->crashes.records()});
    }
}

void control_reducer::on_peer(link::link_number from,
                              link::upstream_contact_notice const& message)
{
    host_id const& host = this->peer_of(from);
    this->entry_hosts.record_contact(host, message.lost);
    if (message.lost)
    {
        this->send(from, this->entry_hosts.relay_hosts_for(host, this->time));
    }
}

void control_reducer::on_peer(link::link_number from,
                              link::crash_report const& message)
{
    policy::crash_merge const merged =
        this->crashes.merge(message.records, this->time);
    if (!merged.missing_at_sender.empty())
    {
        this->send(from, link::crash_report{merged.missing_at_sender});
    }
    this->changed_crashes.add(merged.changed);
    this->send_changed_crashes();
}

void control_reducer::send_changed_crashes()
{
    std::vector<policy::crash_record> changed =
        this->changed_crashes.take_due(this->time);
    if (!changed.empty())
    {
        this->send(this->all_links(), link::crash_report{std::move(changed)});
    }
}

void control_reducer::handle_request(operator_request_received const& received,
                                     read_crash_records const&)
{
    crash_records_reply reply;
    for (policy::crash_record& record : this->crashes.records())
    {
        policy::crash_verdict const verdict = this->crashes.verdict_of(record);
        reply.rows.push_back({std::move(record), verdict});
    }
    this->answer(received.number, std::move(reply));
}

void control_reducer::handle_request(operator_request_received const& received,
                                     lift_crash_record const& request)
{
    std::optional<policy::crash_record> const cleared =
        this->crashes.clear(request.digest, this->time);
    if (!cleared.has_value())
    {
        this->answer(received.number,
                     make_error(error_kind::unknown_name,
                                "No crash is recorded for this request digest.",
                                "List the digests with bilberryctl crashes."));
        return;
    }
    this->effects.emplace_back(
        crash_record_lifted{request.digest, request.operator_name});
    this->changed_crashes.add({*cleared});
    this->send_changed_crashes();
    this->answer(received.number, done_reply{});
}

void control_reducer::on_peer(link::link_number from,
                              link::limit_notice const& message)
{
    std::vector<link::link_number> receivers =
        this->links_of(link::peer_role::entry);
    std::erase(receivers, from);
    bool const from_entry = this->links.at(from).role == link::peer_role::entry;
    if (from_entry && !this->is_linked_to_all_entry_hosts())
    {
        for (auto const& [host, number] : this->control_links)
        {
            receivers.push_back(number);
        }
    }
    this->send(std::move(receivers), message);
}

bool control_reducer::is_linked_to_all_entry_hosts() const
{
    return this->replica.membership().members.size() <=
           this->settings.max_fully_linked_hosts;
}

} // namespace bilberrylead::control
