#include "bilberrylead/http/request_window.hpp"

#include <criterion/criterion.h>

#include <cstddef>
#include <random>

using bilberrylead::http::request_window;

namespace
{

constexpr request_window::traits plain{true, true, true};

} // namespace

Test(request_window, of_one_request_admits_nothing_behind_it)
{
    request_window window(1);
    cr_assert(window.admits(false, false));
    window.add(plain);
    cr_assert(not window.admits(true, false));
}

Test(request_window, admits_idempotent_requests_up_to_its_size)
{
    request_window window(3);
    window.add(plain);
    cr_assert(window.admits(true, false));
    cr_assert(not window.admits(false, false));
    window.add(plain);
    window.add(plain);
    cr_assert(not window.admits(true, false));
    window.remove_first();
    cr_assert(window.admits(true, false));
}

// Later work could depend on what a request that is not idempotent changes.
Test(request_window, admits_nothing_behind_a_request_that_must_run_once)
{
    request_window window(3);
    window.add({false, true, true});
    cr_assert(not window.admits(true, false));
}

// The bytes that follow are the body's until it has been received.
Test(request_window, admits_nothing_behind_a_body_on_its_way)
{
    request_window window(3);
    window.add({true, false, true});
    cr_assert(not window.admits(true, false));
    window.set_received();
    cr_assert(window.admits(true, false));
}

Test(request_window, admits_nothing_behind_an_answer_that_closes)
{
    request_window window(3);
    window.add({true, true, false});
    cr_assert(not window.admits(true, false));
    cr_assert(not window.begin_answer(false));
    window.remove_first();
    cr_assert(not window.admits(true, false));
}

Test(request_window, at_a_stop_closes_with_the_last_answer_only)
{
    request_window window(3);
    window.add(plain);
    window.add(plain);
    cr_assert(not window.admits(true, true));
    cr_assert(window.begin_answer(true));
    window.remove_first();
    cr_assert(not window.begin_answer(true));
}

// Bounds and order of closing hold for any sequence of requests, answers and
// stops.
Test(request_window, random_sequences_keep_the_bounds)
{
    std::mt19937 random(20261204);
    for (int sequence = 0; sequence < 50000; ++sequence)
    {
        std::size_t const most = 1 + random() % 8;
        request_window window(most);
        bool closed = false;
        bool begun = false;
        for (int step = 0; step < 24; ++step)
        {
            bool const stopping = step > 16 && random() % 2 == 0;
            bool const idempotent = random() % 4 != 0;
            if (window.admits(idempotent, stopping))
            {
                cr_assert(not closed);
                cr_assert(idempotent || window.size() == 0);
                window.add({idempotent, random() % 8 != 0, random() % 8 != 0});
            }
            cr_assert_leq(window.size(), most);
            if (window.size() > 0 && random() % 2 == 0)
            {
                bool const keeps = begun || window.begin_answer(stopping);
                begun = keeps;
                closed = closed || !keeps;
                cr_assert(keeps || window.size() == 1);
                if (random() % 2 == 0)
                {
                    window.remove_first();
                    begun = false;
                }
            }
        }
    }
}
