#include "bilberrylead/http/retry_after_header.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <string>

using namespace bilberrylead;
using namespace std::chrono_literals;

Test(retry_after_header, seconds_and_fractions_are_read)
{
    cr_expect(http::read_retry_after("3") == 3s);
    cr_expect(http::read_retry_after("0.25") == 250ms);
    cr_expect(http::read_retry_after("0") == 0s);
}

// Guards against a delay that overflows, and wraps into the past.
Test(retry_after_header, long_delay_is_bounded)
{
    cr_expect(http::read_retry_after("99999999999999999999") == 24h);
}

Test(retry_after_header, other_texts_are_not_read)
{
    for (std::string const text : {"", "-1", "nan", "inf", "soon", "3 s", "1e3",
                                   "Thu, 03 Dec 2026 18:00:00 GMT"})
    {
        cr_expect(!http::read_retry_after(text).has_value(), "\"%s\"",
                  text.c_str());
    }
}
