#include "bilberrylead/http/limit_header.hpp"

#include <criterion/criterion.h>

#include <string>

using namespace bilberrylead;

Test(limit_header, decimal_numbers_are_read)
{
    cr_expect(http::read_limit("2.7") == 2.7);
    cr_expect(http::read_limit("0") == 0.0);
    cr_expect(http::read_limit("40") == 40.0);
    cr_expect(http::read_limit("1000000000000") == 1e12);
}

// Guards against a limit that divides by zero, or is never reached, since its
// text is no number.
Test(limit_header, what_is_no_decimal_number_is_no_limit)
{
    for (std::string const text : {"", "-1", "nan", "inf", "1e3", "2.7 ",
                                   " 2.7", "2,7", "0x10", "many", "1.7;q=1"})
    {
        cr_expect(!http::read_limit(text).has_value(), "\"%s\"", text.c_str());
    }
}
