#ifndef BILBERRYLEAD_TESTS_AGREEMENT_TEST_GROUP_HPP
#define BILBERRYLEAD_TESTS_AGREEMENT_TEST_GROUP_HPP

#include "bilberrylead/agreement/replica.hpp"
#include "group_checker.hpp"
#include "test_host.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace bilberrylead::agreement::tests
{

/// A message that is under way.
struct envelope
{
    /// Sender.
    std::size_t from = 0;
    /// Receiver.
    std::size_t to = 0;
    /// What it says.
    agreement::message message;
};

/// What became of a proposal.
enum class outcome
{
    /// No answer yet.
    open,
    /// proposal_accepted.
    accepted,
    /// proposal_refused.
    refused,
    /// proposal_outcome_unknown.
    unknown,
};

/// A few replicas whose deliveries, crashes and clocks the test scripts.
/// Everything that is told to anybody goes by the checker.
class test_group
{
public:
    /// Makes `founders` voters and `spares` hosts that start blank, and
    /// starts all of them.
    test_group(std::size_t initial_members, std::size_t spare_hosts,
               std::uint64_t seed, replica_settings const& group_settings = {},
               safeguards const& enabled = {});

    /// Starts a host's process from its disk.
    void start(std::size_t host_index);
    /// Kills a process; `kept` of its unsynced writes survive.
    void crash(std::size_t host_index, std::size_t kept = 0);
    /// Wipes a dead host's disk: it returns as a new incarnation.
    void lose_disk(std::size_t host_index);
    /// Messages from one host to another are lost from now on.
    void block_link(std::size_t from, std::size_t to);
    /// Cuts a host off in both directions.
    void isolate(std::size_t host_index);
    /// Ends all cuts.
    void heal();

    /// Hands an event to a running host and carries all effects out.
    void process(std::size_t host_index, event const& event);
    /// Hands an event to a running host; its effects become due.
    void reduce(std::size_t host_index, event const& event);
    /// Hands several events over in one call.
    void reduce(std::size_t host_index, std::span<event const> events);
    /// Carries out at most so many due effects.
    void carry_out(std::size_t host_index, std::size_t count);
    /// Carries out every effect that is due.
    void carry_out_all(std::size_t host_index);

    /// Takes the message at a place out of those under way and delivers it,
    /// unless there is a cut; `keep` leaves a duplicate under way.
    void deliver(std::size_t message_index, bool keep = false);
    /// Delivers the oldest messages to a host, at most so many, in one call.
    void deliver_batch(std::size_t to, std::size_t max_messages);
    /// Delivers, oldest first, until nothing is under way.
    void deliver_all();
    /// Lets time pass in steps of a tick at every running host; delivers
    /// everything after each.
    void run_for(duration length);
    /// As run_for, until someone leads and everyone that runs follows it.
    bool run_until_leader_elected();

    /// Proposes at a host; gives the token.
    std::uint64_t propose_at(std::size_t host_index);
    /// Makes a proposal without handing it over.
    event new_proposal();
    /// Makes a read without handing it over.
    event new_read();
    /// Asks a host for a read; gives the token.
    std::uint64_t read_at(std::size_t host_index);
    /// What became of a proposal.
    outcome outcome_of(std::uint64_t token) const;
    /// The index a read was answered at, if it was.
    std::optional<std::uint64_t> read_index(std::uint64_t token) const;
    /// The leader of the latest term among those that run, if any.
    std::optional<std::size_t> leader() const;
    /// One line on each host, for the message of a failure.
    std::string describe() const;
    /// The host's own time.
    instant now_at(std::size_t host_index) const;

    /// Hosts by place.
    std::vector<test_host> hosts;
    /// Messages under way.
    std::deque<envelope> in_flight;
    /// What must hold.
    group_checker checker;
    /// Time since the start.
    duration elapsed{};
    /// The hosts' settings.
    replica_settings settings;

private:
    void carry_out(test_host& host, effect const& next);
    std::optional<message_received> receive(envelope&& next);
    void enqueue(std::size_t from, send const& sent);
    void check_host(test_host& host, instant now);
    void check_campaigns(test_host& host, std::uint64_t term_before);
    void check_quorum(test_host const& host, instant now);

    safeguards enabled_safeguards;
    membership initial_membership;
    std::set<std::pair<std::size_t, std::size_t>> blocked_links;
    std::uint64_t seed;
    std::uint64_t next_token = 1;
    std::map<std::uint64_t, outcome> outcomes;
    std::map<std::uint64_t, std::uint64_t> read_answers;
};

} // namespace bilberrylead::agreement::tests

#endif
