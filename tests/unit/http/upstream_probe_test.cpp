#include "bilberrylead/http/upstream_probe.hpp"

#include <boost/asio/error.hpp>
#include <criterion/criterion.h>

using namespace bilberrylead;
using entry::probe_outcome;
using http::outcome_of;

Test(upstream_probe, connection_tells_whether_there_is_a_listener)
{
    namespace error = boost::asio::error;
    cr_expect(outcome_of({}) == probe_outcome::accepted);
    cr_expect(outcome_of(error::connection_refused) == probe_outcome::refused);
    cr_expect(outcome_of(error::timed_out) == probe_outcome::no_response);
    cr_expect(outcome_of(error::host_unreachable) ==
              probe_outcome::no_response);
}

// Guards against an upstream that ended and is never counted: its listener took
// the probe and was closed before the probe saw that, so that there was no
// further probe.
Test(upstream_probe, connection_that_is_reset_met_a_listener)
{
    cr_expect(outcome_of(boost::asio::error::connection_reset) ==
              probe_outcome::accepted);
}
