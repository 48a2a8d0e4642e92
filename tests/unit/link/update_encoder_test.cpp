#include "bilberrylead/link/update_encoder.hpp"

#include <criterion/criterion.h>

using namespace bilberrylead;
using link::configuration_update;
using link::update_encoder;

namespace
{

configuration_update update_of(revision target, revision base = 0)
{
    return {target, base, bytes(5000, std::uint8_t(target))};
}

} // namespace

Test(update_encoder, revision_when_sent_to_many_links_is_the_same_on_each)
{
    update_encoder encoder;
    bytes const first = encoder.encode(update_of(7));
    encoder.encode(link::revision_announcement{7});
    cr_expect(encoder.encode(update_of(7)) == first);
    cr_expect(first == link::encode(update_of(7)));
}

// A link that hears of the next revision, or of a delta to the same one,
// must not get what was kept of another.
Test(update_encoder, other_revision_or_base_is_encoded_anew)
{
    update_encoder encoder;
    encoder.encode(update_of(7));
    cr_expect(encoder.encode(update_of(8)) == link::encode(update_of(8)));
    cr_expect(encoder.encode(update_of(8, 7)) == link::encode(update_of(8, 7)));
    cr_expect(encoder.encode(update_of(7)) == link::encode(update_of(7)));
}

Test(update_encoder, other_messages_are_encoded_as_ever)
{
    update_encoder encoder;
    link::message const notice = link::revision_announcement{3};
    cr_expect(encoder.encode(notice) == link::encode(notice));
}
