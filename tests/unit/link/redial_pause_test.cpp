#include "bilberrylead/link/redial_pause.hpp"

#include "bilberrylead/core/process_seed.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <cstddef>
#include <set>
#include <string>

using namespace bilberrylead;
using namespace std::chrono_literals;
using link::redial_pause;

namespace
{

redial_pause pause_of(std::string const& host, std::uint64_t incarnation = 1)
{
    process_seed const seed(host_id(host), incarnation);
    return {100ms, 400ms, seed.of(random_sequence::redial)};
}

} // namespace

Test(redial_pause, bound_doubles_up_to_the_longest_and_starts_anew)
{
    redial_pause pause = pause_of("e1");
    for (duration const bound : {100ms, 200ms, 400ms, 400ms})
    {
        duration const drawn = pause.next();
        cr_expect(drawn >= bound / 2 && drawn <= bound);
    }
    pause.reset();
    cr_expect(pause.next() <= 100ms);
}

// Guards against hosts that lose a peer together and dial it together.
Test(redial_pause, hosts_that_lose_a_peer_together_dial_at_different_times)
{
    constexpr std::size_t hosts = 300;
    std::set<duration> pauses;
    for (std::size_t host = 0; host < hosts; ++host)
    {
        pauses.insert(pause_of("e" + std::to_string(host)).next());
    }
    cr_expect_eq(pauses.size(), hosts);
    cr_expect(*pauses.rbegin() - *pauses.begin() > 45ms);
}

Test(redial_pause, incarnations_of_a_host_dial_at_different_times)
{
    cr_expect(pause_of("e1", 1).next() != pause_of("e1", 2).next());
}
