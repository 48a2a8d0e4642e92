#include "tests/unit/entry/entry_fixture.hpp"

#include "bilberrylead/entry/service_state.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::entry;

namespace
{

/// A service with two upstreams, of which the first starts again.
struct restarted_service
{
    restarted_service()
    {
        for (std::string const name : {"a", "b"})
        {
            config::upstream upstream;
            upstream.id = upstream_id(name);
            this->upstreams.push_back(upstream);
        }
        this->configure(1);
    }

    void configure(std::uint64_t incarnation)
    {
        std::vector<configured_upstream> configured(2);
        for (std::size_t place = 0; place < configured.size(); ++place)
        {
            configured[place].upstream = &this->upstreams[place];
            configured[place].incarnation = {1, 1};
        }
        configured.front().incarnation.number = incarnation;
        this->state.configure(std::move(configured), this->now);
    }

    upstream_incarnation first() const
    {
        return this->state.current_incarnation(upstream_id("a"));
    }

    /// How often the first upstream is chosen in a hundred choices.
    int choices_of_first()
    {
        int count = 0;
        for (int choice = 0; choice < 100; ++choice)
        {
            config::upstream const* const chosen =
                this->state.choose({}, {}, this->now);
            count +=
                chosen != nullptr && chosen->id == upstream_id("a") ? 1 : 0;
        }
        return count;
    }

    instant now = instant{} + 1h;
    std::vector<config::upstream> upstreams;
    service_state state{config::work_length::brief, 1};
};

} // namespace

// Guards against an incarnation that is avoided since the one before failed.
Test(next_incarnation, is_not_ejected_for_earlier_failures)
{
    restarted_service service;
    for (int failure = 0; failure < 50; ++failure)
    {
        service.state.record_failure(service.first(), service.now);
    }
    cr_expect_eq(service.choices_of_first(), 0);
    service.configure(2);
    cr_expect_gt(service.choices_of_first(), 0);
}

// Guards against an incarnation that is taken for busy with earlier work.
Test(next_incarnation, is_not_taken_for_busy_by_earlier_reports)
{
    restarted_service service;
    service.state.record_refusal(service.first(), service.now);
    int const before = service.choices_of_first();
    service.configure(2);
    cr_expect_gt(service.choices_of_first(), before);
}

// Guards against more requests than the upstream's limit allows, until an
// answer of the next incarnation states none.
Test(next_incarnation, keeps_the_limit_until_an_answer_states_none)
{
    restarted_service service;
    upstream_id const id = service.first().id;
    service.state.record_limit(service.first(), 0.5, service.now);
    while (!service.state.time_to_next_token({}, service.now).has_value())
    {
        service.state.acquire_slot(id, service.now);
    }
    service.configure(2);
    cr_expect(service.state.time_to_next_token({}, service.now).has_value());
    service.state.record_limit(service.first(), std::nullopt, service.now);
    cr_expect_not(
        service.state.time_to_next_token({}, service.now).has_value());
}
