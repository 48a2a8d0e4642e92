#include "bilberrylead/http/request_digest.hpp"

#include "bilberrylead/http/carried_request.hpp"

#include <criterion/criterion.h>

#include <cstdint>
#include <set>
#include <string>

using namespace bilberrylead;
using http::carried_request;
using http::request_digest;

namespace
{

carried_request make_request(std::string const& target, std::string const& body)
{
    carried_request request;
    request.message.method(boost::beast::http::verb::post);
    request.message.target(target);
    request.kept = body;
    return request;
}

std::uint64_t digest_of(std::string const& target, std::string const& body,
                        std::string const& host, std::string const& account)
{
    return request_digest(make_request(target, body), host, account);
}

} // namespace

// Guards against a repeat that is not known as one, since it differs in what
// a caller may change.
Test(request_digest, repeat_with_other_headers_has_the_same)
{
    carried_request first = make_request("/a?b=c", "body");
    carried_request repeat = make_request("/a?b=c", "body");
    first.message.set("Bilberry-Deadline-Ms", "2000");
    first.message.set("Bilberry-Request-Id", "1");
    repeat.message.set("Bilberry-Deadline-Ms", "900");
    repeat.message.set("Bilberry-Request-Id", "2");
    cr_expect_eq(request_digest(first, "h", "x"),
                 request_digest(repeat, "h", "x"));
}

// Guards against innocent requests that are taken for another one.
Test(request_digest, other_requests_have_others)
{
    std::set<std::uint64_t> const digests = {
        digest_of("/a?b=c", "body", "h", "x"),
        digest_of("/a?b=d", "body", "h", "x"),
        digest_of("/a", "body", "h", "x"),
        digest_of("/a?b=c", "Body", "h", "x"),
        digest_of("/a?b=c", "", "h", "x"),
        digest_of("/a?b=c", "body", "g", "x"),
        digest_of("/a?b=c", "body", "h", "y"),
        digest_of("/a?b=c", "body", "hx", ""),
    };
    cr_expect_eq(digests.size(), 8U);
}

Test(request_digest, body_that_is_not_kept_whole_is_known_by_its_length)
{
    carried_request shorter = make_request("/a", "begins");
    carried_request longer = make_request("/a", "begins");
    shorter.complete = false;
    longer.complete = false;
    shorter.message.content_length(100'000);
    longer.message.content_length(200'000);
    cr_expect_neq(request_digest(shorter, "h", "x"),
                  request_digest(longer, "h", "x"));
}
