#ifndef BILBERRYLEAD_ONCE_CLIENT_ONCE_CLIENT_HPP
#define BILBERRYLEAD_ONCE_CLIENT_ONCE_CLIENT_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/once_client/once_client_effect.hpp"
#include "bilberrylead/once_client/once_client_event.hpp"
#include "bilberrylead/once_client/once_client_settings.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bilberrylead::once_client
{

/// Gets claims for an entry host's requests and reports how they ended, as
/// a reducer without clock or I/O. It finds the leader, sends again what
/// was lost, and gives up a claim in time for the caller's answer.
///
/// A claim that is given up may still be granted later, when its message
/// arrives late: a release follows it, so that the work can be claimed
/// again and the record never waits for somebody who has gone.
class once_client
{
public:
    /// Makes a client without links.
    explicit once_client(once_client_settings const& settings);

    /// Takes one event. `now` never goes back.
    std::vector<once_client_effect> reduce(once_client_event const& what,
                                           instant now);

    /// True if a leader is linked and knows this incarnation.
    bool reachable() const;

    /// The request's id in claims: this host's, this process's. It keeps the
    /// number that the process started with when a larger incarnation is
    /// taken, so that a claim under way keeps its id.
    request_id id_of(local_request request) const;

private:
    /// A claim or report without an answer yet.
    struct open_command
    {
        local_request request = 0;
        once::once_command command;
        instant wanted_at;
        instant sent_at;
        bool is_sent = false;
    };

    using command_map = std::map<std::uint64_t, open_command>;

    void on(control_link_opened const& what);
    void on(control_link_closed const& what);
    void on(leader_named const& what);
    void on(registration_answered const& what);
    void on(verdict_received const& what);
    void on(settlement_received const& what);
    void on(claim_wanted const& what);
    void on(completion_wanted const& what);
    void on(release_wanted const& what);
    void on(unknown_wanted const& what);
    void on(client_tick const& what);

    void add_report(local_request request, once::once_command command);
    void add(local_request request, once::once_command command);
    std::optional<link::link_number> leader_link() const;
    void register_self();
    void send_open();
    void send(std::uint64_t number, open_command& command);
    void send_again();
    void give_up_late_claims();
    void note_reachability();

    once_client_settings settings;
    std::uint64_t incarnation;
    instant time;
    std::map<link::link_number, host_id> links;
    host_id leader;
    bool is_registered = false;
    instant registration_sent_at;
    bool was_reachable = false;
    std::uint64_t last_number = 0;
    command_map commands;
    std::size_t open_claims = 0;
    std::vector<once_client_effect> effects;
};

} // namespace bilberrylead::once_client

#endif
