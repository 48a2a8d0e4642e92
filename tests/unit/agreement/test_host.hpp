#ifndef BILBERRYLEAD_TESTS_AGREEMENT_TEST_HOST_HPP
#define BILBERRYLEAD_TESTS_AGREEMENT_TEST_HOST_HPP

#include "bilberrylead/agreement/replica.hpp"
#include "bilberrylead/core/time.hpp"
#include "fake_disk.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>

namespace bilberrylead::agreement::tests
{

/// One host of a test_group: a process that may be down or suspended, a disk
/// and a clock.
struct test_host
{
    /// Its id.
    host_id id;
    /// Incarnation of its disk.
    std::uint64_t incarnation = 1;
    /// The process; null while it is down.
    std::unique_ptr<agreement::replica> replica;
    /// Its simulated disk.
    fake_disk disk;
    /// Effects that are not executed yet.
    std::deque<effect> pending_effects;
    /// True while the process is suspended: it processes no events and executes
    /// no effects.
    bool frozen = false;
    /// True for hosts that start an empty first disk with the group's initial
    /// membership.
    bool initial_member = false;
    /// Rate of its clock, in thousandths of the real rate.
    std::int64_t clock_rate = 1000;
    /// Last index that its state machine includes.
    std::uint64_t applied = 0;
    /// Highest commit index of this process.
    std::uint64_t committed = 0;
    /// Number of campaigns since a message last reached it.
    std::size_t campaigns_without_contact = 0;
    /// Time by its own clock at which the last message of each host arrived.
    std::map<host_id, instant> last_received_at;
    /// Time by its own clock at which it became leader; valid only for a
    /// leader.
    instant leader_since;

    /// True if it can process an event.
    bool is_running() const
    {
        return this->replica != nullptr && !this->frozen;
    }

    /// True if it considers itself leader.
    bool is_leader() const
    {
        return this->replica != nullptr &&
               this->replica->role() == role::leader;
    }
};

} // namespace bilberrylead::agreement::tests

#endif
