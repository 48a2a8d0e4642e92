#include "bilberrylead/catalog/accepted_orders.hpp"

#include <criterion/criterion.h>

#include <cstddef>
#include <string>

using namespace bilberrylead;
using catalog::accepted_orders;
using catalog::close_zone;
using catalog::order_outcome;
using catalog::put_configuration;

namespace
{

bytes document(std::string const& text)
{
    return {text.begin(), text.end()};
}

} // namespace

// Two operators send versions 7 and 9; 9 is accepted first. The late 7 is
// acknowledged and must not bring back what 9 replaced.
Test(accepted_orders, older_version_when_it_comes_late_changes_nothing)
{
    accepted_orders orders;
    cr_expect(orders.apply(put_configuration{9, document("new")}) ==
              order_outcome::taken);
    cr_expect(orders.apply(put_configuration{7, document("old")}) ==
              order_outcome::nothing_to_do);
    cr_expect_eq(orders.version(), 9U);
    cr_expect(orders.document() == document("new"));
    cr_expect_eq(orders.current_revision(), 1U);
}

// Other content under the version that is held: a resend with a slip in it
// would change what the version says at some hosts only.
Test(accepted_orders, other_content_under_the_held_version_is_not_taken)
{
    accepted_orders orders;
    orders.apply(put_configuration{9, document("new")});
    cr_expect(orders.apply(put_configuration{9, document("other")}) ==
              order_outcome::nothing_to_do);
    cr_expect(orders.document() == document("new"));
}

Test(accepted_orders, zone_when_closed_twice_is_closed_once)
{
    accepted_orders orders;
    cr_expect(orders.apply(close_zone{zone_id("a"), true}) ==
              order_outcome::taken);
    cr_expect(orders.apply(close_zone{zone_id("a"), true}) ==
              order_outcome::nothing_to_do);
    cr_expect_eq(orders.current_revision(), 1U);
    cr_expect(orders.apply(close_zone{zone_id("a"), false}) ==
              order_outcome::taken);
    cr_expect(orders.closed_zones().empty());
}

Test(accepted_orders, state_when_decoded_is_what_was_encoded)
{
    accepted_orders orders;
    orders.apply(put_configuration{4, document("text")});
    orders.apply(close_zone{zone_id("a"), true});
    orders.apply(close_zone{zone_id("b"), true});
    bytes const encoded = orders.encode();
    absl::StatusOr<accepted_orders> const read =
        accepted_orders::decode(encoded);
    cr_assert(read.ok());
    cr_expect(read->encode() == encoded);
    cr_expect_eq(read->closed_zones().size(), 2U);
}

Test(accepted_orders, cut_or_spoilt_bytes_are_an_error)
{
    accepted_orders orders;
    orders.apply(put_configuration{4, document("text")});
    orders.apply(close_zone{zone_id("a"), true});
    bytes const encoded = orders.encode();
    for (std::size_t length = 0; length < encoded.size(); ++length)
    {
        bytes const cut(encoded.begin(),
                        encoded.begin() + static_cast<std::ptrdiff_t>(length));
        cr_expect_not(accepted_orders::decode(cut).ok(), "%zu bytes", length);
    }
}
