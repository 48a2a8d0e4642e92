#include "bilberrylead/policy/crash_report_queue.hpp"
#include "tests/unit/entry/routed_entry.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::entry;

namespace
{

/// An entry host whose connection attempts to upstreams all fail once `cut` was
/// called, and which knows three others: two in its region.
struct cut_off_entry : routed_entry
{
    cut_off_entry()
    {
        this->reduce(relay_hosts_received{
            {{host_id("e2"), {"127.0.0.1", 82}, region_id("r1")},
             {host_id("e3"), {"127.0.0.1", 83}, region_id("r1")},
             {host_id("e4"), {"127.0.0.1", 84}, region_id("r2")}}});
    }

    /// Fails connections to all upstreams.
    void cut()
    {
        for (std::string const id : {"read-0", "read-1", "read-2", "write-0",
                                     "write-1", "write-2", "read-far"})
        {
            if (!this->reducer.counters().upstream_contact_lost)
            {
                this->reduce(
                    upstream_probed{upstream_id(id), probe_outcome::refused});
            }
        }
    }

    effects const& fail(std::uint64_t number, exchange_phase phase,
                        exchange_fault fault = exchange_fault::connect_failed)
    {
        return this->reduce(
            upstream_failed{static_cast<request_number>(number), phase, fault});
    }

    /// Passes a request with a digest. Returns the upstream that it is sent to.
    std::string arrive_with_digest(std::uint64_t number, std::uint64_t digest)
    {
        request_arrived arrival;
        arrival.request = static_cast<request_number>(number);
        arrival.host = "a.example";
        arrival.path = "/r/x";
        arrival.digest = digest;
        this->reduce(arrival);
        return this->sent_to();
    }

    /// Lets a request with that digest lose its upstream, which then refuses
    /// connections. Returns the upstream.
    std::string record_crash(std::uint64_t number, std::uint64_t digest)
    {
        std::string const upstream = this->arrive_with_digest(number, digest);
        this->fail(number, exchange_phase::maybe_sent,
                   exchange_fault::connection_lost);
        this->reduce(
            upstream_probed{upstream_id(upstream), probe_outcome::refused});
        cr_assert_eq(this->crashes_of_first(), 1U);
        this->advance(policy::crash_report_queue::interval);
        return upstream;
    }

    /// Passes an answer of that upstream to a request that is sent 4 s from
    /// now.
    void answer_later(std::string const& upstream, instant connected_at)
    {
        this->now += 4s;
        this->arrive_with_digest(9, 78);
        upstream_signals_received signals;
        signals.request = static_cast<request_number>(9);
        signals.service = service_id("read");
        signals.upstream = upstream_id(upstream);
        signals.connected_at = connected_at;
        this->reduce(signals);
    }

    /// Ends of upstreams in the first crash record.
    std::size_t crashes_of_first() const
    {
        std::vector<policy::crash_record> const records =
            this->reducer.crash_records().records();
        return records.empty() ? 0 : records.front().ended_upstreams.size();
    }

    /// Port of the entry host that the last event passed a request on to; 0 if
    /// none.
    std::uint16_t relayed_to() const
    {
        start_upstream const* const order = this->find<start_upstream>();
        return order != nullptr && order->to_entry_host ? order->address.port
                                                        : 0;
    }
};

} // namespace

// Guards against callers that are refused by a host which reaches no upstream
// although other hosts do.
Test(relayed_request, goes_to_a_near_host_while_no_upstream_is_reached)
{
    cut_off_entry entry;
    entry.cut();
    cr_assert_not_null(entry.find<upstream_contact_changed>());
    cr_expect(entry.find<upstream_contact_changed>()->lost);
    entry.arrive(1, "/r/x");
    std::uint16_t const first = entry.relayed_to();
    entry.arrive(2, "/w/x");
    std::uint16_t const second = entry.relayed_to();
    cr_expect(first == 82 || first == 83, "%d", first);
    cr_expect(second == 82 || second == 83, "%d", second);
    cr_expect_neq(first, second, "requests are spread");
    upstream_head_received head;
    head.request = static_cast<request_number>(1);
    head.status = 200;
    entry.reduce(head);
    cr_expect_not_null(entry.find<stream_answer>());
    entry.reduce(upstream_answer_finished{head.request, {}});
    cr_expect_eq(entry.reducer.requests_in_progress(), 1U);
}

// Guards against upstreams of one zone that fail and make the host pass
// everything on.
Test(relayed_request, is_placed_here_while_one_zone_still_answers)
{
    cut_off_entry entry;
    for (int round = 0; round < 5; ++round)
    {
        for (std::string const id : {"read-0", "read-1", "write-0", "write-1"})
        {
            entry.reduce(
                upstream_probed{upstream_id(id), probe_outcome::refused});
        }
    }
    entry.arrive(1, "/r/x");
    cr_expect_eq(entry.relayed_to(), 0);
    cr_expect_not_null(entry.find<start_upstream>());
}

// Guards against two hosts without upstreams that pass a request to and fro.
Test(relayed_request, is_passed_on_only_once)
{
    cut_off_entry entry;
    entry.cut();
    request_arrived arrival;
    arrival.request = static_cast<request_number>(1);
    arrival.host = "a.example";
    arrival.path = "/r/x";
    arrival.is_relayed = true;
    entry.reduce(arrival);
    cr_expect_eq(entry.relayed_to(), 0);
}

// Guards against a request that is lost with the connection attempt during
// which the host finds out that it reaches no upstream.
Test(relayed_request, follows_a_failed_connection_attempt)
{
    cut_off_entry entry;
    entry.arrive(1, "/w/x");
    cr_assert_not(entry.find<start_upstream>()->to_entry_host);
    entry.cut();
    entry.fail(1, exchange_phase::not_sent);
    cr_expect_neq(entry.relayed_to(), 0);
}

// Guards against a second run of a request that may have run already.
Test(relayed_request, may_not_have_run_unless_it_is_idempotent)
{
    cut_off_entry entry;
    entry.arrive(1, "/w/x");
    entry.cut();
    entry.fail(1, exchange_phase::maybe_sent, exchange_fault::connection_lost);
    cr_expect_eq(entry.relayed_to(), 0);
    cr_expect_not_null(entry.find<answer_unknown>());

    cut_off_entry idempotent;
    idempotent.arrive(1, "/r/x");
    idempotent.cut();
    idempotent.fail(1, exchange_phase::maybe_sent,
                    exchange_fault::connection_lost);
    cr_expect_neq(idempotent.relayed_to(), 0);
}

Test(relayed_request, goes_to_a_second_host_and_is_then_refused)
{
    cut_off_entry entry;
    entry.cut();
    entry.arrive(1, "/w/x");
    std::uint16_t const first = entry.relayed_to();
    entry.fail(1, exchange_phase::not_sent);
    std::uint16_t const second = entry.relayed_to();
    cr_expect_neq(first, second);
    cr_expect_neq(second, 0);
    entry.fail(1, exchange_phase::not_sent);
    cr_expect_eq(entry.relayed_to(), 0);
    cr_expect_not_null(entry.find<answer_not_run>());
    cr_expect_eq(entry.reducer.requests_in_progress(), 0U);
}

// Guards against a body that leaves the regions to which its route is bound.
Test(relayed_request, stays_in_the_regions_of_its_route)
{
    cut_off_entry entry;
    entry.cut();
    entry.arrive(1, "/home/x");
    cr_expect_eq(entry.relayed_to(), 84);
}

Test(relayed_request, is_refused_here_if_no_host_reaches_upstreams)
{
    cut_off_entry entry;
    entry.reduce(relay_hosts_received{});
    entry.cut();
    entry.arrive(1, "/r/x");
    cr_expect_eq(entry.relayed_to(), 0);
}

// Guards against a caller that waits beyond its deadline for another host.
Test(relayed_request, ends_at_its_deadline)
{
    cut_off_entry entry;
    entry.cut();
    entry.arrive(1, "/w/x");
    entry.advance(1100ms);
    cr_expect_not_null(entry.find<answer_unknown>());
    cr_expect_eq(entry.reducer.requests_in_progress(), 0U);
}

Test(relayed_request, is_cancelled_when_its_caller_leaves)
{
    cut_off_entry entry;
    entry.cut();
    entry.arrive(1, "/r/x");
    entry.reduce(caller_gone{static_cast<request_number>(1)});
    cr_expect_not_null(entry.find<cancel_upstream>());
    cr_expect_eq(entry.reducer.requests_in_progress(), 0U);
}

// Guards against a host that goes on passing requests on after the partition
// has ended, and against upstreams that stay excluded for its failures.
Test(relayed_request, ends_when_upstreams_accept_connections_again)
{
    cut_off_entry entry;
    entry.cut();
    std::size_t probes = 0;
    for (int count = 0; count < 50; ++count)
    {
        entry.advance(20ms);
        for (effect const& each : entry.last_effects)
        {
            probes += std::holds_alternative<probe_upstream>(each) ? 1U : 0U;
        }
    }
    cr_expect(probes >= 6 && probes <= 10, "%zu probes a second", probes);
    entry.reduce(upstream_connected{upstream_id("read-0")});
    entry.reduce(upstream_connected{upstream_id("write-1")});
    cr_assert_not_null(entry.find<upstream_contact_changed>());
    cr_expect_not(entry.find<upstream_contact_changed>()->lost);
    entry.arrive(1, "/r/x");
    cr_expect_eq(entry.relayed_to(), 0);
    cr_expect_not_null(entry.find<start_upstream>());
}

// Guards against innocent requests that are held back on all hosts, since this
// host took an upstream that it could not reach for ended.
Test(relayed_request, answer_of_an_upstream_taken_for_ended_withdraws_records)
{
    cut_off_entry entry;
    std::string const upstream = entry.record_crash(1, 77);
    entry.answer_later(upstream, entry.now - 10s);
    cr_assert_not_null(entry.find<send_crash_records>());
    cr_expect(entry.find<send_crash_records>()
                  ->records.front()
                  .ended_upstreams.empty());
    cr_expect_eq(entry.crashes_of_first(), 0U);
}

// Guards against a request that ends upstreams for ever, since an answer of the
// next incarnation, which has the same id, withdraws its record.
Test(relayed_request, answer_on_a_later_connection_withdraws_no_records)
{
    cut_off_entry entry;
    std::string const upstream = entry.record_crash(1, 77);
    entry.answer_later(upstream, entry.now + 3s);
    cr_expect_null(entry.find<send_crash_records>());
    cr_expect_eq(entry.crashes_of_first(), 1U);
}

// Guards against the same by an answer that the ended process had sent before.
Test(relayed_request, answer_to_an_earlier_request_withdraws_no_records)
{
    cut_off_entry entry;
    entry.arrive_with_digest(2, 78);
    std::string const upstream = entry.record_crash(1, 77);
    upstream_signals_received signals;
    signals.request = static_cast<request_number>(2);
    signals.service = service_id("read");
    signals.upstream = upstream_id(upstream);
    signals.connected_at = entry.now - 10s;
    entry.reduce(signals);
    cr_expect_eq(entry.crashes_of_first(), 1U);
}

// Guards against innocent requests that are held back on all hosts after a cut
// between this host and all upstreams, whose connections were reset.
Test(relayed_request, cut_that_others_do_not_share_withdraws_records)
{
    cut_off_entry entry;
    entry.record_crash(1, 77);
    entry.cut();
    entry.arrive(2, "/r/x");
    cr_assert_neq(entry.relayed_to(), 0);
    upstream_head_received head;
    head.request = static_cast<request_number>(2);
    head.status = 200;
    entry.reduce(head);
    entry.advance(1s);
    cr_expect_eq(entry.crashes_of_first(), 1U);
    entry.advance(1s);
    cr_expect_eq(entry.crashes_of_first(), 0U);
    cr_expect_not_null(entry.find<send_crash_records>());
}

// Guards against a request that ends all of a few upstreams and is allowed
// again, since that looks like a cut.
Test(relayed_request, crash_of_all_upstreams_withdraws_no_records)
{
    cut_off_entry entry;
    std::string const upstream = entry.record_crash(1, 77);
    entry.cut();
    entry.arrive(2, "/r/x");
    entry.advance(3s);
    cr_expect_eq(entry.crashes_of_first(), 1U);
    // One upstream is back, and another host reached it first.
    upstream_head_received head;
    head.request = static_cast<request_number>(2);
    head.status = 200;
    entry.reduce(head);
    entry.advance(500ms);
    entry.reduce(
        upstream_probed{upstream_id(upstream), probe_outcome::accepted});
    entry.advance(3s);
    cr_expect_eq(entry.crashes_of_first(), 1U);
}

// Guards against crash records of requests whose upstreams this host cannot
// reach, and against its demand being counted twice.
Test(relayed_request, lost_contact_records_no_crashes_and_reports_no_demand)
{
    cut_off_entry entry;
    std::string const upstream = entry.arrive_with_digest(1, 77);
    entry.cut();
    cr_expect(entry.reducer.demands().empty());
    entry.fail(1, exchange_phase::maybe_sent, exchange_fault::connection_lost);
    entry.reduce(
        upstream_probed{upstream_id(upstream), probe_outcome::refused});
    cr_expect(entry.reducer.crash_records().records().empty());
}

namespace
{

/// Passes a request that another entry host, which allows it in `regions`, has
/// passed on.
void arrive_relayed(routed_entry& entry, std::string const& path,
                    std::vector<region_id> const& regions = {},
                    std::uint64_t number = 1)
{
    request_arrived arrival;
    arrival.request = static_cast<request_number>(number);
    arrival.host = "a.example";
    arrival.path = path;
    arrival.is_relayed = true;
    arrival.relayed_regions = regions;
    entry.reduce(arrival);
}

} // namespace

// Guards against a request that runs outside its regions at a host whose
// configuration is older than that of the host which the caller reached.
Test(relayed_request, keeps_the_regions_of_the_host_that_passed_it_on)
{
    routed_entry entry;
    arrive_relayed(entry, "/r/x", {region_id("r2")});
    cr_expect_eq(entry.sent_to(), "read-far");
    arrive_relayed(entry, "/r/x", {region_id("r1")}, 2);
    cr_expect_neq(entry.sent_to(), "read-far");
    cr_expect_neq(entry.sent_to(), "");
    arrive_relayed(entry, "/home/x", {region_id("r1")}, 3);
    cr_expect_eq(entry.sent_to(), "");
    cr_expect_not_null(entry.find<answer_not_run>());
}

// Guards against 404 for a route that is in force on the host which the caller
// reached.
Test(relayed_request, of_an_unknown_route_is_misdirected_rather_than_not_found)
{
    routed_entry entry;
    arrive_relayed(entry, "/added/x");
    answer_problem const* const answer = entry.find<answer_problem>();
    cr_assert_not_null(answer);
    cr_expect_eq(answer->status, 421);
    cr_expect(answer->reason == refusal_reason::other_configuration);
    entry.arrive(2, "/added/x");
    cr_assert_not_null(entry.find<answer_problem>());
    cr_expect_eq(entry.find<answer_problem>()->status, 404);
}

// Guards against a request that a host with an older configuration treats as
// the caller's host no longer does.
Test(relayed_request, is_misdirected_at_a_host_with_an_older_revision)
{
    routed_entry entry;
    request_arrived arrival;
    arrival.request = static_cast<request_number>(1);
    arrival.host = "a.example";
    arrival.path = "/r/x";
    arrival.is_relayed = true;
    arrival.relayed_revision = 2;
    entry.reduce(arrival);
    cr_assert_not_null(entry.find<answer_problem>());
    cr_expect_eq(entry.find<answer_problem>()->status, 421);
    cr_expect_null(entry.find<start_upstream>());
    arrival.request = static_cast<request_number>(2);
    arrival.relayed_revision = 1;
    entry.reduce(arrival);
    cr_expect_not_null(entry.find<start_upstream>());
}

// Guards against callers that receive the refusal of a host with another
// configuration while others can carry the request.
Test(relayed_request, goes_to_another_host_if_the_first_is_misdirected)
{
    cut_off_entry entry;
    entry.cut();
    entry.arrive(1, "/w/x");
    std::uint16_t const first = entry.relayed_to();
    upstream_head_received head;
    head.request = static_cast<request_number>(1);
    head.status = 421;
    entry.reduce(head);
    cr_expect_not_null(entry.find<cancel_upstream>());
    cr_expect_neq(entry.relayed_to(), 0);
    cr_expect_neq(entry.relayed_to(), first);
    entry.reduce(head);
    answer_not_run const* const answer = entry.find<answer_not_run>();
    cr_assert_not_null(answer);
    cr_expect(answer->reason == refusal_reason::other_configuration);
    cr_expect_eq(entry.reducer.requests_in_progress(), 0U);
}

// Guards against a request whose regions the other host does not learn.
Test(relayed_request, names_its_regions_to_the_other_host)
{
    cut_off_entry entry;
    entry.cut();
    entry.arrive(1, "/home/x");
    start_upstream const* const order = entry.find<start_upstream>();
    cr_assert_not_null(order);
    cr_expect(order->regions == std::vector<region_id>{region_id("r2")});
}
