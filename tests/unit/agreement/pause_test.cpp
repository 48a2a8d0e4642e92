#include "group_fixture.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>

using namespace bilberrylead::agreement;
using namespace bilberrylead::agreement::tests;
using namespace std::chrono_literals;
using bilberrylead::duration;

namespace
{

/// Seeds of the election timers.
constexpr std::uint64_t seeds = 20;
/// A pause above half an election timeout.
constexpr duration long_pause = 400ms;

replica_settings waiting()
{
    replica_settings settings;
    settings.wait_after_pause = true;
    return settings;
}

/// A group of three with a leader; time stands at the leader's last tick.
struct paused_group : test_group
{
    explicit paused_group(std::uint64_t seed)
        : test_group(3, 0, seed, waiting())
    {
        cr_assert(this->run_until_leader_elected(), "%s",
                  this->describe().c_str());
        this->old = *this->leader();
        this->term = this->hosts[this->old].replica->term();
    }

    /// Lets time pass in which no process runs. Then each one runs a tick
    /// before it reads the messages that arrived meanwhile.
    void pause_all(duration length)
    {
        this->process(this->old, tick{});
        this->elapsed += length;
        this->run_for(2s);
    }

    void expect_same_leader(duration length) const
    {
        cr_expect(this->hosts[this->old].is_leader(), "%ld ms%s",
                  std::chrono::duration_cast<std::chrono::milliseconds>(length)
                      .count(),
                  this->describe().c_str());
        cr_expect_eq(this->hosts[this->old].replica->term(), this->term);
        cr_expect_not(this->checker.violation.has_value(), "%s",
                      this->checker.violation.value_or("").c_str());
    }

    std::size_t old = 0;
    std::uint64_t term = 0;
};

} // namespace

// Guards against a leader that gives up its office for want of replies that it
// has received and not read: a slow sync, or a busy machine, paused all
// processes.
Test(pause, group_when_paused_together_keeps_its_leader)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        for (duration const length : {300ms, 600ms, 700ms, 900ms, 1200ms})
        {
            paused_group group(seed);
            std::uint64_t const change = group.propose_at(group.old);
            group.carry_out_all(group.old);
            group.pause_all(length);
            group.expect_same_leader(length);
            cr_expect(group.outcome_of(change) == outcome::accepted);
        }
    }
}

// The followers run on, and deny votes within an election timeout of the
// leader's last message: nobody can have succeeded it. It has not read their
// replies to that message.
Test(pause, leader_when_paused_alone_within_the_timeout_keeps_leading)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        paused_group group(seed);
        while (group.in_flight.empty())
        {
            group.elapsed += group.settings.tick_interval;
            group.process(group.old, tick{});
        }
        for (std::size_t host = 0; host < group.hosts.size(); ++host)
        {
            if (host != group.old)
            {
                group.deliver_batch(host, 1);
                group.carry_out_all(host);
            }
        }
        std::deque<envelope> replies;
        replies.swap(group.in_flight);
        group.hosts[group.old].frozen = true;
        group.run_for(560ms);
        group.hosts[group.old].frozen = false;
        replies.swap(group.in_flight);
        group.run_for(2s);
        group.expect_same_leader(560ms);
    }
}

// Guards against a leader that leads for ever without a quorum, since its
// process is paused again and again.
Test(pause, isolated_leader_when_paused_repeatedly_steps_down)
{
    paused_group group(1);
    group.isolate(group.old);
    duration const isolated_at = group.elapsed;
    while (group.hosts[group.old].is_leader())
    {
        group.elapsed += long_pause;
        group.process(group.old, tick{});
        cr_assert_leq(
            (group.elapsed - isolated_at).count(),
            (2 * group.settings.election_timeout + 2 * long_pause).count());
    }
}
