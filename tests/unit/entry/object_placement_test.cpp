#include "tests/unit/entry/routed_entry.hpp"

#include <criterion/criterion.h>

#include <cstdint>
#include <string>

using namespace bilberrylead;
using namespace bilberrylead::entry;

namespace
{

/// The upstream of an idle host for a request about the object.
std::string first_upstream(routed_entry& host, std::uint64_t number,
                           std::string const& path, std::uint64_t object)
{
    host.arrive(number, path, object);
    std::string const upstream = host.sent_to();
    host.answer(number, 200);
    host.take(upstream_answer_finished{request_number{number}, {}});
    return upstream;
}

} // namespace

// Callers fetch recipes and book crews of one service, and number both from
// 1. Upstreams that know recipe 7 do not know booking 7. Sent to the
// upstream of the recipe every booking would take the time of an unknown
// one, as soon as that upstream is busy with recipes.
Test(object_placement, same_name_on_two_routes_is_two_objects)
{
    routed_entry host;
    int apart = 0;
    std::uint64_t number = 0;
    for (std::uint64_t object = 1; object <= 30; ++object)
    {
        std::string const fetched =
            first_upstream(host, ++number, "/fetch/x", object);
        std::string const booked =
            first_upstream(host, ++number, "/book/x", object);
        apart += fetched != booked ? 1 : 0;
        cr_expect_eq(first_upstream(host, ++number, "/fetch/y", object),
                     fetched, "an object keeps its upstream");
    }
    cr_expect_gt(apart, 10, "of three upstreams two thirds differ by chance");
}
