#include "bilberrylead/control/control_reducer.hpp"

#include "bilberrylead/agreement/codec.hpp"
#include "bilberrylead/core/error.hpp"
#include "tests/unit/control/control_group.hpp"

#include <criterion/criterion.h>

#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::tests;

namespace
{

once::claim_key const key{service_id("s"), caller_id("c"), "k"};

control::submit_change change(char const* name, revision base)
{
    bytes const document{'{', '}', static_cast<std::uint8_t>(*name)};
    return {{change_id(name), base, "operator", {}, document}};
}

catalog::change_outcome outcome_of(control::operator_reply const& reply)
{
    catalog::change_outcome const* const outcome =
        std::get_if<catalog::change_outcome>(&reply);
    cr_assert_not_null(outcome);
    return *outcome;
}

absl::Status refusal_of(control::operator_reply const& reply)
{
    absl::Status const* const status = std::get_if<absl::Status>(&reply);
    cr_assert_not_null(status);
    return *status;
}

link::once_request claim_of(std::uint64_t number, char const* request)
{
    return {number, once::claim{key, 9, request_id(request), host_id("e1"), 1}};
}

/// A group that has a leader, and an entry host linked to every control host.
struct led_group : control_group
{
    std::size_t leader = this->wait_for_leader();
    std::size_t follower = (this->leader + 1) % hosts;

    led_group()
    {
        for (std::size_t index = 0; index < hosts; ++index)
        {
            this->connect(index, entry_link, host_id("e1"),
                          link::peer_role::entry);
        }
    }

    template <class Verdict>
    void expect_verdict(std::uint64_t number)
    {
        link::claim_reply const reply =
            this->last_sent<link::claim_reply>(this->leader);
        cr_assert_eq(reply.number, number);
        cr_assert(std::holds_alternative<Verdict>(reply.verdict));
    }
};

} // namespace

Test(control_reducer, change_stored_by_a_quorum_is_answered_and_published)
{
    led_group group;
    std::vector<std::size_t> const recipients{group.leader, group.follower};
    for (std::size_t const index : recipients)
    {
        group.send_from_entry_host(
            index, link::subscription{0, link::delivery::pushed});
    }
    group.request(group.leader, 1, change("a", 0));
    cr_assert(group.answers.empty());
    group.deliver();
    cr_assert(outcome_of(group.answer_to(1)) ==
              catalog::change_outcome(catalog::change_accepted{1}));
    group.advance(3);
    for (std::size_t const index : recipients)
    {
        link::configuration_update const update =
            group.last_sent<link::configuration_update>(index);
        cr_assert_eq(update.target, 1U);
        cr_assert(update.content == bytes({'{', '}', 'a'}));
    }
}

// Guards against a resent change that is applied twice. The followers have
// stored the change, but the leader is cut off before it receives their
// acknowledgements, so that the operator gets no answer. Resent through the
// next leader, the change must be reported as already accepted, as revision 1.
// The old leader never reports it as accepted.
Test(control_reducer, change_resent_after_a_leader_change_is_applied_once)
{
    led_group group;
    group.not_receiving = {group.leader};
    group.request(group.leader, 1, change("a", 0));
    group.deliver();
    group.isolated = {group.leader};
    std::size_t const next = group.wait_for_leader();
    cr_assert_neq(next, group.leader);
    group.request(next, 2, change("a", 0));
    group.deliver();
    cr_assert(outcome_of(group.answer_to(2)) ==
              catalog::change_outcome(catalog::change_already_accepted{1}));

    group.not_receiving.clear();
    group.isolated.clear();
    group.advance(30);
    cr_assert(kind_of(refusal_of(group.answer_to(1))) == error_kind::timeout);
    cr_assert_eq(group.nodes.at(group.leader)
                     ->state()
                     .configurations()
                     .current_revision(),
                 1U);
}

Test(control_reducer, concurrent_changes_to_one_base_accept_only_the_first)
{
    led_group group;
    group.request(group.leader, 1, change("a", 0));
    group.request(group.leader, 2, change("b", 0));
    group.deliver();
    cr_assert(outcome_of(group.answer_to(1)) ==
              catalog::change_outcome(catalog::change_accepted{1}));
    catalog::change_conflict const lost{1, change_id("a"), "operator"};
    cr_assert(outcome_of(group.answer_to(2)) == catalog::change_outcome(lost));
}

Test(control_reducer, follower_refuses_operator_requests_and_names_the_leader)
{
    led_group group;
    group.request(group.follower, 1, change("a", 0));
    group.request(group.follower, 2, control::read_configuration{});
    group.request(group.follower, 3, control::read_audit{});
    group.request(group.follower, 4, control::hand_over{});
    std::string const name = control_host(group.leader).text();
    for (std::uint64_t number = 1; number <= 4; ++number)
    {
        absl::Status const refused = refusal_of(group.answer_to(number));
        cr_assert(kind_of(refused) == error_kind::not_leader);
        cr_assert(std::string(refused.message()).find(name) !=
                  std::string::npos);
    }
}

// Guards against a change reported as accepted, or a claim reported as
// granted, while only the leader has stored it. Both followers are cut off:
// the next leader may have received neither.
Test(control_reducer, requests_without_a_quorum_are_never_reported_accepted)
{
    led_group group;
    group.isolated = {group.leader};
    group.request(group.leader, 1, change("a", 0));
    group.send_from_entry_host(group.leader, claim_of(1, "r1"));
    group.advance(60);
    cr_assert(kind_of(refusal_of(group.answer_to(1))) == error_kind::timeout);
    for (link::message const& sent :
         group.sent_to_entry_hosts[{group.leader, led_group::entry_link}])
    {
        cr_assert_not(std::holds_alternative<link::claim_reply>(sent));
    }
}

// Guards against entry hosts that can stop the group. An entry host with the
// name of a control host claims to lead in a much later term. If the leader
// stepped down, every request would wait for an election.
Test(control_reducer, replica_message_of_an_entry_host_is_ignored)
{
    led_group group;
    std::uint64_t const term = group.nodes.at(group.leader)->log().term();
    link::replica_message const forged{
        agreement::encode_message({term + 9, 1, agreement::append_request{}})};
    group.connect(group.leader, 101, control_host(group.follower),
                  link::peer_role::entry);
    group.dispatch(group.leader, {control::peer_message{101, forged}});
    cr_assert_eq(group.nodes.at(group.leader)->log().term(), term);

    // The same message over a control host's link is accepted.
    group.dispatch(group.leader,
                   {control::peer_message{group.follower, forged}});
    cr_assert_eq(group.nodes.at(group.leader)->log().term(), term + 9);
}

Test(control_reducer, claim_when_repeated_is_in_progress_and_then_recorded)
{
    led_group group;
    group.send_from_entry_host(group.leader, link::registration_request{1});
    cr_assert(group.last_sent<link::registration_reply>(group.leader)
                  .result.accepted);
    group.send_from_entry_host(group.leader, claim_of(1, "r1"));
    group.expect_verdict<once::claim_granted>(1);
    group.send_from_entry_host(group.leader, claim_of(2, "r2"));
    group.expect_verdict<once::claim_in_progress>(2);

    once::recorded_answer const answer{201, "a/b", {1, 2}, false};
    group.send_from_entry_host(
        group.leader,
        link::once_request{3, once::complete{key, request_id("r1"), answer}});
    cr_assert(group.last_sent<link::settle_reply>(group.leader).result ==
              once::settle_result::done);
    group.send_from_entry_host(group.leader, claim_of(4, "r2"));
    group.expect_verdict<once::claim_recorded>(4);
    link::claim_reply const reply =
        group.last_sent<link::claim_reply>(group.leader);
    cr_assert(std::get<once::claim_recorded>(reply.verdict).answer == answer);
}

Test(control_reducer, claim_at_a_follower_is_refused_with_the_leaders_name)
{
    led_group group;
    group.send_from_entry_host(group.follower, claim_of(7, "r1"));
    link::leader_notice const notice =
        group.last_sent<link::leader_notice>(group.follower);
    cr_assert_eq(notice.refused_number, 7U);
    cr_assert(notice.leader == control_host(group.leader));
}

// Guards against stale reads. While the leader is frozen and cut off, another
// one is elected and accepts a change. The old leader resumes and gets a read
// request before any message. It must detect that its lease has expired and
// not return the old configuration.
Test(control_reducer, read_at_an_old_leader_after_its_lease_is_refused)
{
    led_group group;
    group.request(group.leader, 1, control::read_configuration{});
    cr_assert(std::holds_alternative<control::configuration_reply>(
        group.answer_to(1)));
    group.isolated = {group.leader};
    group.frozen = {group.leader};
    std::size_t const next = group.wait_for_leader();
    group.request(next, 2, change("a", 0));
    group.deliver();
    cr_assert(outcome_of(group.answer_to(2)) ==
              catalog::change_outcome(catalog::change_accepted{1}));

    group.frozen.clear();
    group.request(group.leader, 3, control::read_configuration{});
    absl::Status const refused = refusal_of(group.answer_to(3));
    cr_assert(kind_of(refused) == error_kind::no_quorum, "%s",
              std::string(refused.message()).c_str());
}

Test(control_reducer, events_in_one_call_share_one_sync)
{
    led_group group;
    std::vector<control::control_event> events;
    for (std::uint64_t number = 1; number <= 5; ++number)
    {
        control::operator_request_received received;
        received.number = number;
        received.request = change(std::to_string(number).c_str(), 0);
        events.emplace_back(received);
    }
    std::size_t const before = group.syncs;
    group.dispatch(group.leader, events);
    cr_assert_eq(group.syncs, before + 1);
    group.deliver();
    cr_assert(outcome_of(group.answer_to(1)) ==
              catalog::change_outcome(catalog::change_accepted{1}));
    cr_assert_eq(group.answers.size(), 5U);
}

// Guards against a crash of the leader. After an entry host is killed and its
// link closes, the leader plans the membership from its links to control
// hosts. A leftover entry of the closed link in that table referred to no link
// and crashed the leader.
Test(control_reducer, disconnected_entry_host_is_not_made_a_group_member)
{
    led_group group;
    group.dispatch(group.leader,
                   {control::peer_disconnected{group.entry_link}});
    group.advance(20);
    for (agreement::member const& one :
         group.nodes.at(group.leader)->log().membership().members)
    {
        cr_expect(one.host != host_id("e1"));
    }
}

Test(control_reducer, orders_when_accepted_are_published_and_read_back)
{
    led_group group;
    group.request(group.leader, 1,
                  control::submit_orders{{5, bytes{'t', 'e', 'x', 't'}}});
    group.advance(3);
    cr_expect(std::get<catalog::order_outcome>(group.answer_to(1)) ==
              catalog::order_outcome::taken);
    group.request(group.leader, 2, control::read_orders{});
    group.advance(3);
    control::orders_reply const read =
        std::get<control::orders_reply>(group.answer_to(2));
    cr_expect_eq(read.version, 5U);
    cr_expect(read.document == (bytes{'t', 'e', 'x', 't'}));
    group.request(group.follower, 3, control::read_orders{});
    group.advance(3);
    cr_expect(kind_of(refusal_of(group.answer_to(3))) ==
              error_kind::not_leader);
}

// Guards against stale reads. A leader that is cut off stays in the leader
// role slightly longer than its lease, and its newest orders may be outdated.
Test(control_reducer, orders_are_not_read_from_a_leader_without_a_quorum)
{
    led_group group;
    group.request(group.leader, 1, control::submit_orders{{5, bytes{'a'}}});
    group.advance(3);
    group.isolated.insert(group.leader);
    group.advance(9); // Its lease has expired; its role has not changed yet.
    group.request(group.leader, 2, control::read_orders{});
    group.advance(30);
    cr_expect(std::holds_alternative<absl::Status>(group.answer_to(2)));
}

// All hosts have lost power, and entry hosts request the upstreams before any
// leader has read the list. The listing that the control host stored before
// the restart is enough to serve callers.
Test(control_reducer, restarted_host_sends_the_stored_upstream_listing)
{
    control::control_reducer_settings settings;
    settings.self = control_host(0);
    control::control_reducer host(settings, process_seed(settings.self, 1));
    instant const now = instant{} + std::chrono::hours(1);
    discovery::list_changes remembered;
    remembered.is_full = true;
    remembered.target = {7, 3};
    remembered.put.emplace_back();
    remembered.put.back().upstream.id = upstream_id("a");
    std::vector<control::control_event> const events = {
        control::control_started{{}, remembered},
        control::peer_connected{1, {host_id("e1"), link::peer_role::entry, 1}},
        control::peer_message{1, link::upstream_request{}}};
    std::size_t sent_upstreams = 0;
    for (control::control_effect const& effect : host.reduce(events, now))
    {
        control::send_to_peer const* const sent =
            std::get_if<control::send_to_peer>(&effect);
        link::upstream_update const* const update =
            sent == nullptr
                ? nullptr
                : std::get_if<link::upstream_update>(&sent->content);
        sent_upstreams += update == nullptr ? 0 : update->changes.put.size();
    }
    cr_expect_eq(sent_upstreams, 1U);
}

namespace
{

/// A control host of region "r" that was started with a stored plan.
struct planned_control_host
{
    planned_control_host()
    {
        control::control_reducer_settings settings;
        settings.self = control_host(0);
        settings.region = region_id("r");
        this->host.emplace(settings, process_seed(settings.self, 1));
        control::control_started started;
        started.plan =
            link::region_plan{3, {{service_id("s"), region_id("far"), 600}}};
        this->dispatch({started});
    }

    void dispatch(control::control_event const& event)
    {
        this->last_effects = this->host->reduce({&event, 1}, this->now);
    }

    void connect(link::link_number number, link::peer_role role)
    {
        this->dispatch(control::peer_connected{
            number, {host_id("h" + std::to_string(number)), role, 1}});
    }

    /// Sends the heartbeat of an entry host in that region.
    void send_heartbeat(link::link_number number, std::string const& region)
    {
        link::entry_presence presence;
        presence.region = region_id(region);
        this->dispatch(control::peer_message{number, presence});
    }

    /// Plans sent as a result of the last event.
    std::vector<link::region_plan> plans() const
    {
        std::vector<link::region_plan> found;
        for (control::control_effect const& effect : this->last_effects)
        {
            control::send_to_peer const* const sent =
                std::get_if<control::send_to_peer>(&effect);
            link::region_plan const* const plan =
                sent == nullptr
                    ? nullptr
                    : std::get_if<link::region_plan>(&sent->content);
            if (plan != nullptr)
            {
                found.push_back(*plan);
            }
        }
        return found;
    }

    instant now = instant{} + std::chrono::hours(1);
    std::optional<control::control_reducer> host;
    std::vector<control::control_effect> last_effects;
};

} // namespace

// Guards against misrouted requests during a rolling restart. Without a plan,
// an entry host that starts before the leader's next plan routes all of its
// first requests to its own region, where their objects are not held. It then
// moves to its shares at the bounded rate, which takes ten seconds and more.
Test(control_reducer, plan_is_sent_to_an_entry_host_starting_in_its_region)
{
    planned_control_host host;
    host.connect(1, link::peer_role::entry);
    host.send_heartbeat(1, "r");
    cr_assert_eq(host.plans().size(), 1U);
    cr_expect(host.plans().front() == *host.host->plan());
    host.send_heartbeat(1, "r");
    cr_expect(host.plans().empty(), "a later heartbeat gets no plan");
    host.connect(2, link::peer_role::entry);
    host.send_heartbeat(2, "other");
    cr_expect(host.plans().empty(), "the plan is for another region");
}

Test(control_reducer, plan_of_an_older_term_or_from_an_entry_host_is_ignored)
{
    planned_control_host host;
    host.connect(1, link::peer_role::control);
    host.connect(2, link::peer_role::entry);
    host.dispatch(control::peer_message{1, link::region_plan{2, {}}});
    cr_expect_eq(host.host->plan()->term, 3U);
    host.dispatch(control::peer_message{2, link::region_plan{9, {}}});
    cr_expect_eq(host.host->plan()->term, 3U);
    host.dispatch(control::peer_message{1, link::region_plan{4, {}}});
    cr_expect_eq(host.host->plan()->term, 4U);
}

// Guards against crash reports that need a leader, or that are not forwarded
// by the control host that receives them.
Test(control_reducer, crash_report_is_forwarded_once_by_every_control_host)
{
    led_group group;
    group.isolated.insert(group.leader);
    std::size_t const other = (group.follower + 1) % control_group::hosts;
    link::crash_report const report{{{9, 0, {upstream_id("u1")}}}};
    group.send_from_entry_host(group.follower, report);
    std::vector<link::message> const& sent =
        group.sent_to_entry_hosts[{other, led_group::entry_link}];
    std::size_t const sent_once = sent.size();
    cr_expect(group.last_sent<link::crash_report>(other).records ==
              report.records);
    group.send_from_entry_host(group.follower, report);
    cr_expect_eq(sent.size(), sent_once);
}

// Guards against a flood of reports that delays the heartbeats of the
// replicated log: the upstreams of a zone end at once, and every control host
// relays the record of each request that they ran over all of its links.
Test(control_reducer, burst_of_crash_reports_is_relayed_in_few_messages)
{
    constexpr std::uint64_t requests = 300;
    led_group group;
    constexpr link::link_number second = led_group::entry_link + 1;
    group.connect(group.follower, second, host_id("e2"),
                  link::peer_role::entry);
    std::vector<link::message> const& sent =
        group.sent_to_entry_hosts[{group.follower, second}];
    std::size_t const sent_before = sent.size();
    for (std::uint64_t digest = 1; digest <= requests; ++digest)
    {
        group.send_from_entry_host(
            group.follower,
            link::crash_report{{{digest, 0, {upstream_id("u1")}}}});
    }
    group.advance(10);

    std::size_t reports = 0;
    std::set<std::uint64_t> relayed;
    for (std::size_t place = sent_before; place < sent.size(); ++place)
    {
        link::crash_report const* const report =
            std::get_if<link::crash_report>(&sent[place]);
        if (report != nullptr)
        {
            ++reports;
            for (policy::crash_record const& each : report->records)
            {
                relayed.insert(each.digest);
            }
        }
    }
    cr_expect_eq(relayed.size(), requests);
    cr_expect_leq(reports, 4U, "%zu reports", reports);
}

// Guards against entry hosts that start without the records of requests that
// crash upstreams.
Test(control_reducer, crash_records_are_sent_to_a_newly_connected_entry_host)
{
    led_group group;
    group.send_from_entry_host(
        group.follower, link::crash_report{{{9, 0, {upstream_id("u1")}}}});
    constexpr link::link_number second = led_group::entry_link + 1;
    group.connect(group.leader, second, host_id("e2"), link::peer_role::entry);
    bool found = false;
    for (link::message const& sent :
         group.sent_to_entry_hosts[{group.leader, second}])
    {
        found = found || std::holds_alternative<link::crash_report>(sent);
    }
    cr_expect(found);
}

// Guards against notices on a limited upstream that some entry hosts do not
// receive, or that control hosts forward to each other endlessly.
Test(control_reducer, limit_notice_reaches_entry_hosts_of_all_control_hosts)
{
    led_group group;
    link::limit_notice const notice{
        host_id("e1"),
        {{upstream_id("u1"), 2.5, std::chrono::milliseconds(3), 4}}};
    group.send_from_entry_host(group.follower, notice);
    for (std::size_t index = 0; index < control_group::hosts; ++index)
    {
        std::size_t notices = 0;
        for (link::message const& sent :
             group.sent_to_entry_hosts[{index, led_group::entry_link}])
        {
            notices +=
                std::holds_alternative<link::limit_notice>(sent) ? 1U : 0U;
        }
        cr_expect_eq(notices, index == group.follower ? 0U : 1U);
    }
}

// Guards against counts that each entry host receives once by every control
// host, which become most of the hosts' load.
Test(control_reducer, limit_notice_is_sent_once_where_all_hosts_are_linked)
{
    control_group group(std::nullopt,
                        [](control::control_reducer_settings& settings,
                           control::control_started&)
                        {
                            settings.max_fully_linked_hosts =
                                control_group::hosts;
                        });
    std::size_t const leader = group.wait_for_leader();
    for (std::size_t index = 0; index < control_group::hosts; ++index)
    {
        group.connect(index, control_group::entry_link, host_id("e1"),
                      link::peer_role::entry);
        group.connect(index, control_group::entry_link + 1, host_id("e2"),
                      link::peer_role::entry);
    }
    group.sent_to_entry_hosts.clear();
    group.send_from_entry_host(
        leader, link::limit_notice{host_id("e1"),
                                   {{upstream_id("u1"), 2.5,
                                     std::chrono::milliseconds(3), 4}}});
    std::size_t notices = 0;
    for (auto const& [at, messages] : group.sent_to_entry_hosts)
    {
        for (link::message const& sent : messages)
        {
            notices +=
                std::holds_alternative<link::limit_notice>(sent) ? 1U : 0U;
        }
    }
    cr_expect_eq(notices, 1U);
}

// Guards against requests that stay refused because no operator can lift
// their crash record.
Test(control_reducer, lifted_crash_record_is_cleared_on_all_hosts)
{
    led_group group;
    link::crash_report const report{
        {{9, 0, {upstream_id("u1"), upstream_id("u2"), upstream_id("u3")}}}};
    group.send_from_entry_host(group.follower, report);
    group.request(group.leader, 1, control::lift_crash_record{9, "alba"});
    group.advance(4); // Over the interval of crash reports.
    cr_expect(std::holds_alternative<control::done_reply>(group.answer_to(1)));
    for (std::size_t index = 0; index < control_group::hosts; ++index)
    {
        std::vector<policy::crash_record> const held =
            group.nodes.at(index)->crash_records().records();
        cr_assert_eq(held.size(), 1U);
        cr_expect(held.front().ended_upstreams.empty());
    }
    group.request(group.leader, 2, control::lift_crash_record{9, "alba"});
    cr_expect(kind_of(refusal_of(group.answer_to(2))) ==
              error_kind::unknown_name);
}

namespace
{

link::customer_usage_report usage_of(char const* customer)
{
    return {{1, 1, {{customer_id(customer), 10'000, 10, 4, 4, 0}}}};
}

std::size_t allocations_sent(led_group& group, std::size_t host)
{
    std::size_t count = 0;
    for (link::message const& sent :
         group.sent_to_entry_hosts[{host, led_group::entry_link}])
    {
        count += std::holds_alternative<link::customer_shares>(sent) ? 1U : 0U;
    }
    return count;
}

} // namespace

// Guards against limits that are divided by two hosts at once.
Test(control_reducer, customers_limits_are_divided_by_the_leader_only)
{
    led_group group;
    group.send_from_entry_host(group.follower, usage_of("c"));
    group.send_from_entry_host(group.leader, usage_of("c"));
    group.advance(100);
    cr_expect_eq(allocations_sent(group, group.follower), 0U);
    cr_assert_geq(allocations_sent(group, group.leader), 1U);
    policy::customer_allocation const allocation =
        group.last_sent<link::customer_shares>(group.leader).content;
    cr_expect_eq(allocation.report, 1U);
    cr_assert_eq(allocation.rows.size(), 1U);
    cr_expect(allocation.rows.front().customer == customer_id("c"));
    cr_expect_gt(allocation.rows.front().share, 0U);
}

Test(control_reducer, customers_are_reported_to_operators_by_the_leader)
{
    led_group group;
    group.send_from_entry_host(group.leader, usage_of("c"));
    group.request(group.leader, 1, control::read_customers{});
    group.request(group.follower, 2, control::read_customers{});
    group.deliver();
    control::customers_reply const* const reply =
        std::get_if<control::customers_reply>(&group.answer_to(1));
    cr_assert_not_null(reply);
    cr_assert_eq(reply->rows.size(), 1U);
    cr_expect_eq(reply->omitted, 0U);
    cr_expect(reply->rows.front().customer == customer_id("c"));
    cr_expect_eq(reply->rows.front().arrived, 4U);
    cr_expect_eq(reply->rows.front().refused, 0U);
    cr_expect(kind_of(refusal_of(group.answer_to(2))) ==
              error_kind::not_leader);
}

// Guards against an entry host without upstreams that is told of no other host
// to pass its requests on to.
Test(control_reducer, host_without_upstreams_receives_hosts_that_reach_them)
{
    control_group group;
    std::size_t const leader = group.wait_for_leader();
    group.connect(leader, control_group::entry_link, host_id("e1"),
                  link::peer_role::entry);
    group.connect(leader, control_group::entry_link + 1, host_id("e2"),
                  link::peer_role::entry);
    link::entry_presence heartbeat;
    heartbeat.ready = true;
    for (std::uint16_t number = 0; number < 2; ++number)
    {
        heartbeat.address = {"10.0.0.1", number};
        group.dispatch(
            leader, {control::peer_message{control_group::entry_link + number,
                                           heartbeat}});
    }
    group.send_from_entry_host(leader, link::upstream_contact_notice{true});
    link::relay_host_list const list =
        group.last_sent<link::relay_host_list>(leader);
    cr_assert_eq(list.hosts.size(), 1U);
    cr_expect(list.hosts.front().id == host_id("e2"));
}
