#include "bilberrylead/http/decimal_header.hpp"

#include <criterion/criterion.h>

#include <string>

using namespace bilberrylead;

Test(decimal_header, decimal_numbers_are_read)
{
    cr_expect(http::read_decimal("2.7") == 2.7);
    cr_expect(http::read_decimal("0") == 0.0);
    cr_expect(http::read_decimal("40") == 40.0);
    cr_expect(http::read_decimal("1000000000000") == 1e12);
}

// Guards against a limit or a delay that divides by zero, or never ends, since
// its text is no number.
Test(decimal_header, what_is_no_decimal_number_is_not_read)
{
    for (std::string const text : {"", "-1", "nan", "inf", "1e3", "2.7 ",
                                   " 2.7", "2,7", "0x10", "many", "1.7;q=1"})
    {
        cr_expect(!http::read_decimal(text).has_value(), "\"%s\"",
                  text.c_str());
    }
}
