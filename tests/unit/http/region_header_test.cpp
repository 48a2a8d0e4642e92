#include "bilberrylead/http/region_header.hpp"

#include <criterion/criterion.h>

#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::http;

Test(region_header, is_read_as_it_was_written)
{
    std::vector<region_id> const regions = {region_id("r1"), region_id("r-2")};
    cr_expect_eq(write_regions(regions), "r1,r-2");
    cr_expect(read_regions(write_regions(regions)) == regions);
    cr_expect(read_regions("").empty());
    cr_expect(read_regions(" r1 , ,r-2,") == regions);
}
