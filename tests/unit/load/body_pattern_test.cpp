#include "bilberrylead/load/body_pattern.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstddef>
#include <vector>

using bilberrylead::load::body_pattern;

Test(body_pattern, chunks_when_filled_equal_the_whole)
{
    body_pattern const pattern("request-1");
    std::vector<char> whole(10'000);
    pattern.fill(0, whole);
    for (std::size_t const size : {1U, 3U, 8U, 4'096U, 5'000U})
    {
        std::vector<char> part(size);
        for (std::size_t position = 0; position + size <= whole.size();
             position += size)
        {
            pattern.fill(position, part);
            cr_assert(pattern.matches(position, part));
            cr_assert(std::equal(part.begin(), part.end(),
                                 whole.begin() +
                                     static_cast<std::ptrdiff_t>(position)));
        }
    }
}

Test(body_pattern, damaged_or_foreign_bytes_when_checked_do_not_match)
{
    body_pattern const own("request-1");
    std::vector<char> bytes(1'000);
    own.fill(0, bytes);
    cr_assert(own.matches(0, bytes));
    cr_assert_not(own.matches(1, bytes));
    cr_assert_not(body_pattern("request-2").matches(0, bytes));
    bytes[999] = static_cast<char>(bytes[999] + 1);
    cr_assert_not(own.matches(0, bytes));
}
