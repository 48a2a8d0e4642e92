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

/// One host of a test_group: a process that may be down or frozen, a disk,
/// and a clock of its own.
struct test_host
{
    /// Its name.
    host_id id;
    /// Which life of its disk.
    std::uint64_t incarnation = 1;
    /// The process; null while it is down.
    std::unique_ptr<agreement::replica> replica;
    /// Its data folder.
    fake_disk disk;
    /// Effects that are not carried out yet.
    std::deque<effect> pending_effects;
    /// A frozen process takes no event and carries nothing out.
    bool frozen = false;
    /// Founders start a blank disk with the group's first membership.
    bool initial_member = false;
    /// How fast its clock runs, in thousandths of the real rate.
    std::int64_t clock_rate = 1000;
    /// Last index its state machine includes.
    std::uint64_t applied = 0;
    /// Highest commit index of this process.
    std::uint64_t committed = 0;
    /// Campaigns of its own since a message last reached it.
    std::size_t campaigns_without_contact = 0;
    /// When, by its own clock, a message of a host last arrived.
    std::map<host_id, instant> last_received_at;
    /// When, by its own clock, it began to lead; meaningful for a leader.
    instant leader_since;

    /// True if it can take an event.
    bool is_running() const
    {
        return this->replica != nullptr && !this->frozen;
    }

    /// True if it believes to lead.
    bool is_leader() const
    {
        return this->replica != nullptr &&
               this->replica->role() == role::leader;
    }
};

} // namespace bilberrylead::agreement::tests

#endif
