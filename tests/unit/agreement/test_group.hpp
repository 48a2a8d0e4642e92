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

/// A message in flight.
struct envelope
{
    /// Index of the sender.
    std::size_t from = 0;
    /// Index of the receiver.
    std::size_t to = 0;
    /// The message.
    agreement::message message;
};

/// The outcome of a proposal.
enum class outcome
{
    /// Not answered yet.
    open,
    /// proposal_accepted.
    accepted,
    /// proposal_refused.
    refused,
    /// proposal_outcome_unknown.
    unknown,
};

/// A small group of replicas. The test controls message delivery, crashes and
/// clocks; the checker observes everything that is reported to clients.
class test_group
{
public:
    /// Creates `initial_members` voters and `spare_hosts` hosts with empty
    /// disks, and starts all of them.
    test_group(std::size_t initial_members, std::size_t spare_hosts,
               std::uint64_t seed, replica_settings const& group_settings = {},
               safeguards const& enabled = {});

    /// Starts a host's process from its disk.
    void start(std::size_t host_index);
    /// Crashes a process; the first `kept` of its unsynced writes survive.
    void crash(std::size_t host_index, std::size_t kept = 0);
    /// Wipes the disk of a host that is down: it restarts as a new incarnation.
    void lose_disk(std::size_t host_index);
    /// Drops messages from one host to another from now on.
    void block_link(std::size_t from, std::size_t to);
    /// Blocks all links of a host, in both directions.
    void isolate(std::size_t host_index);
    /// Restores all links.
    void heal();

    /// Passes an event to a running host and executes all its effects.
    void process(std::size_t host_index, event const& event);
    /// Passes an event to a running host; its effects become pending.
    void reduce(std::size_t host_index, event const& event);
    /// Passes several events to a running host in one call.
    void reduce(std::size_t host_index, std::span<event const> events);
    /// Executes at most `count` pending effects.
    void carry_out(std::size_t host_index, std::size_t count);
    /// Executes all pending effects.
    void carry_out_all(std::size_t host_index);

    /// Removes the message at an index from those in flight and delivers it; it
    /// is lost if the receiver is not running. `keep` leaves a duplicate in
    /// flight.
    void deliver(std::size_t message_index, bool keep = false);
    /// Delivers the oldest messages for a host, at most `max_messages`, in one
    /// call.
    void deliver_batch(std::size_t to, std::size_t max_messages);
    /// Delivers messages, oldest first, until none is in flight.
    void deliver_all();
    /// Advances time in steps of one tick; after each step every running host
    /// gets a tick event and all messages are delivered.
    void run_for(duration length);
    /// Runs until there is a leader that all running members follow; false if
    /// that takes too long.
    bool run_until_leader_elected();

    /// Proposes at a host and returns the token.
    std::uint64_t propose_at(std::size_t host_index);
    /// Creates a proposal without passing it to a host.
    event new_proposal();
    /// Creates a read request without passing it to a host.
    event new_read();
    /// Requests a read at a host and returns the token.
    std::uint64_t read_at(std::size_t host_index);
    /// The outcome of a proposal.
    outcome outcome_of(std::uint64_t token) const;
    /// The index at which a read was answered; nullopt if it was not.
    std::optional<std::uint64_t> read_index(std::uint64_t token) const;
    /// Index of the running leader with the latest term, if there is one.
    std::optional<std::size_t> leader() const;
    /// One line for each host, for failure messages.
    std::string describe() const;
    /// Current time by the host's clock.
    instant now_at(std::size_t host_index) const;

    /// Hosts by index.
    std::vector<test_host> hosts;
    /// Messages in flight, oldest first.
    std::deque<envelope> in_flight;
    /// Checks the group's invariants.
    group_checker checker;
    /// Time since the test began.
    duration elapsed{};
    /// Settings of all replicas.
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
