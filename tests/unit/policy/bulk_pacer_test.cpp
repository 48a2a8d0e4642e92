#include "bilberrylead/policy/bulk_pacer.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <cstddef>

using namespace bilberrylead;
using namespace std::chrono_literals;
using policy::bulk_pacer;

namespace
{

instant const start = instant{} + 1h;
constexpr double six_mbit = 750'000;
constexpr std::size_t piece = std::size_t{16} << 10U;

} // namespace

// Guards against a look-up that waits behind 90 KB of another caller's
// download: the pieces are spread over the time that the link needs for them.
Test(bulk_pacer, long_answer_is_paced_at_the_link_rate)
{
    bulk_pacer pace(six_mbit);
    duration waited{};
    std::size_t passed = 0;
    instant now = start;
    while (passed < 6 * piece)
    {
        duration const wait = pace.reserve(passed, piece, now);
        waited += wait;
        now += wait;
        passed += piece;
    }
    cr_expect_gt(waited, 100ms);
    cr_expect_lt(waited, 160ms);
}

Test(bulk_pacer, short_answer_never_waits)
{
    bulk_pacer pace(six_mbit);
    for (std::size_t passed = 0; passed < 20 * piece; passed += piece)
    {
        pace.reserve(passed, piece, start);
    }
    cr_expect_eq(pace.reserve(0, 1500, start), duration::zero());
}

Test(bulk_pacer, short_answers_delay_long_ones)
{
    bulk_pacer pace(six_mbit);
    for (int answer = 0; answer < 50; ++answer)
    {
        cr_expect_eq(pace.reserve(0, 1500, start), duration::zero());
    }
    cr_expect_gt(pace.reserve(piece, piece, start), 100ms);
}

// Guards against a download that stalls so long that it is taken for a broken
// connection, however many there are.
Test(bulk_pacer, no_piece_waits_longer_than_the_max_wait)
{
    bulk_pacer pace(six_mbit);
    duration longest{};
    for (int answer = 0; answer < 200; ++answer)
    {
        longest = std::max(longest, pace.reserve(piece, piece, start));
    }
    cr_expect_leq(longest, 250ms);
}

// Guards against a debt that outlasts its downloads: many downloads are over
// and the link is idle, so a later one must not wait for the bytes that they
// sent beyond the pace.
Test(bulk_pacer, finished_downloads_do_not_delay_later_ones)
{
    bulk_pacer pace(six_mbit);
    for (int answer = 0; answer < 200; ++answer)
    {
        pace.reserve(piece, piece, start);
    }
    cr_expect_eq(pace.reserve(piece, piece, start + 300ms), duration::zero());
}

Test(bulk_pacer, unknown_link_rate_disables_pacing)
{
    bulk_pacer pace(0);
    for (int answer = 0; answer < 50; ++answer)
    {
        cr_expect_eq(pace.reserve(piece, piece, start), duration::zero());
    }
}
