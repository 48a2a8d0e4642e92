#ifndef BILBERRYLEAD_TESTS_AGREEMENT_GROUP_FIXTURE_HPP
#define BILBERRYLEAD_TESTS_AGREEMENT_GROUP_FIXTURE_HPP

#include "test_group.hpp"

#include <criterion/criterion.h>

#include <cstddef>
#include <cstdint>

namespace bilberrylead::agreement::tests
{

/// A group of initial members, three by default, and optional spare hosts,
/// which has elected a leader.
struct group_fixture : test_group
{
    explicit group_fixture(std::size_t initial_members = 3,
                           std::size_t spare_hosts = 0,
                           replica_settings const& group_settings = {},
                           safeguards const& enabled = {})
        : test_group(initial_members, spare_hosts, 1, group_settings, enabled)
    {
        cr_assert(this->run_until_leader_elected(), "%s",
                  this->describe().c_str());
    }

    /// Proposes, delivers all messages and returns the outcome.
    outcome propose_and_deliver(std::size_t host_index)
    {
        std::uint64_t const token = this->propose_at(host_index);
        this->carry_out_all(host_index);
        this->deliver_all();
        return this->outcome_of(token);
    }

    /// The first host that is neither of these.
    std::size_t other_than(std::size_t one, std::size_t another) const
    {
        std::size_t host_index = 0;
        while (host_index == one || host_index == another)
        {
            ++host_index;
        }
        return host_index;
    }

    void expect_no_violation() const
    {
        cr_assert_not(this->checker.violation.has_value(), "%s%s",
                      this->checker.violation.value_or("").c_str(),
                      this->describe().c_str());
    }
};

} // namespace bilberrylead::agreement::tests

#endif
