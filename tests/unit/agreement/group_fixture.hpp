#ifndef BILBERRYLEAD_TESTS_AGREEMENT_GROUP_FIXTURE_HPP
#define BILBERRYLEAD_TESTS_AGREEMENT_GROUP_FIXTURE_HPP

#include "test_group.hpp"

#include <criterion/criterion.h>

#include <cstddef>
#include <cstdint>

namespace bilberrylead::agreement::tests
{

/// Three founders (and spares, if asked for) that have elected a leader.
struct group_fixture : test_group
{
    explicit group_fixture(std::size_t founders = 3, std::size_t spares = 0,
                           replica_settings const& pace = {},
                           safeguards const& kept = {})
        : test_group(founders, spares, 1, pace, kept)
    {
        cr_assert(this->run_until_led(), "%s", this->describe().c_str());
    }

    /// Proposes, delivers everything, and tells what became of it.
    outcome settle(std::size_t place)
    {
        std::uint64_t const token = this->propose_at(place);
        this->carry_out_all(place);
        this->deliver_all();
        return this->outcome_of(token);
    }

    /// A host other than these.
    std::size_t other_than(std::size_t one, std::size_t another) const
    {
        std::size_t place = 0;
        while (place == one || place == another)
        {
            ++place;
        }
        return place;
    }

    void expect_no_breach() const
    {
        cr_assert_not(this->checker.breach.has_value(), "%s%s",
                      this->checker.breach.value_or("").c_str(),
                      this->describe().c_str());
    }
};

} // namespace bilberrylead::agreement::tests

#endif
