#include "bilberrylead/http/load_header.hpp"

#include <criterion/criterion.h>

#include <string>

using namespace bilberrylead;

Test(load_header, three_figures_are_read)
{
    std::optional<entry::upstream_load> const load = http::read_load("3,12,4");
    cr_assert(load.has_value());
    cr_expect_eq(load->running, 3U);
    cr_expect_eq(load->waiting, 12U);
    cr_expect(!load->run_time_percent.has_value());
}

// Guards against a placement that is blind to what other hosts send to an
// upstream, since the whole report was dropped for a figure it has in addition.
Test(load_header, fourth_figure_does_not_hide_the_others)
{
    std::optional<entry::upstream_load> const load =
        http::read_load("3,12,4,250");
    cr_assert(load.has_value());
    cr_expect_eq(load->running, 3U);
    cr_expect_eq(load->waiting, 12U);
    cr_expect(load->run_time_percent == 250U);
    cr_expect(http::read_load("0,0,4,1")->run_time_percent == 1U);
    cr_expect(http::read_load("0,0,4,100000")->run_time_percent == 100'000U);
}

// Guards against a load that nobody reported.
Test(load_header, anything_else_is_no_report)
{
    for (std::string const text :
         {"", "3", "3,12", "3,12,4,100,7", "3,12,4,", ",3,12,4", "3, 12,4",
          "-1,0,4", "3,12,4,-100", "3,12,4,1.5", "3,12,4,0", "3,12,4,100001",
          "3,12,4,99999999999", "4294967296,0,4", "many,0,4", "3;12;4"})
    {
        cr_expect(!http::read_load(text).has_value(), "\"%s\"", text.c_str());
    }
}
