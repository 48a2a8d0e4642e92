#include "tests/unit/http/http_fixture.hpp"

#include <atomic>
#include <mutex>

using namespace bilberrylead;
using namespace bilberrylead::http;

namespace
{

/// An upstream that keeps the heads of its requests, behind an entry host with
/// a customer and a public route.
struct entry_with_customer
{
    entry_with_customer()
    {
        this->entry.adjust = [](config::configuration& content)
        {
            config::request_route route;
            route.host = "s";
            route.path_prefix = "/s/";
            route.idempotent = true;
            route.targets = {{service_id("s"), 1}};
            config::request_route open = route;
            open.path_prefix = "/open/";
            open.is_public = true;
            content.request_routes = {route, open};
            content.customers = {
                {customer_id("c1"), {"secret-1", "secret-2"}, 0, 0, 0, {}}};
        };
        this->entry.configure({this->upstream.port()});
    }

    std::optional<answer_text> ask(std::string const& target,
                                   std::string const& headers,
                                   std::string const& method = "GET")
    {
        return this->entry.ask(method + " " + target +
                               " HTTP/1.1\r\nHost: s\r\n" + headers + "\r\n");
    }

    std::optional<request_text> last_request()
    {
        std::lock_guard<std::mutex> const lock(this->guard);
        return this->last;
    }

    std::mutex guard;
    std::optional<request_text> last;
    fake_upstream upstream{
        [this](wire& connection, int)
        {
            for (;;)
            {
                std::optional<request_text> const request =
                    connection.request();
                if (!request.has_value())
                {
                    return;
                }
                {
                    std::lock_guard<std::mutex> const lock(this->guard);
                    this->last = request;
                }
                connection.send(whole_answer_text("own"));
            }
        }};
    running_server entry;
};

unsigned status_of(std::optional<answer_text> const& answer)
{
    return answer.has_value() ? answer->result_int() : 0;
}

} // namespace

// Guards against a key that reaches an upstream, in whatever form it was sent,
// and against an identity that a caller claims for itself.
Test(customer_key, upstream_gets_the_customers_name_and_never_a_key)
{
    entry_with_customer host;
    for (std::string const headers :
         {"Bilberry-Key: secret-1\r\n", "bilberry-key: secret-2\r\n",
          "Bilberry-Key: secret-1\r\nBilberry-Customer: other\r\n",
          "Bilberry-Key: secret-1\r\nConnection: Bilberry-Key, "
          "Bilberry-Customer\r\n"})
    {
        cr_expect_eq(status_of(host.ask("/s/1", headers)), 200U, "%s",
                     headers.c_str());
        std::optional<request_text> const request = host.last_request();
        cr_assert(request.has_value());
        cr_expect_eq(request->count("Bilberry-Key"), 0U);
        cr_expect_eq(request->count("Bilberry-Customer"), 1U);
        cr_expect((*request)["Bilberry-Customer"] == "c1");
    }
}

// Guards against requests of nobody: each is refused before its body is asked
// for.
Test(customer_key, request_without_one_valid_key_is_answered_401)
{
    entry_with_customer host;
    for (std::string const& headers :
         {std::string(), std::string("Bilberry-Key: \r\n"),
          std::string("Bilberry-Key: unknown\r\n"),
          std::string("Bilberry-Key: secret-1\r\nBilberry-Key: secret-2\r\n"),
          "Bilberry-Key: " + std::string(2000, 'k') + "\r\n"})
    {
        std::optional<answer_text> const answer = host.ask(
            "/s/1", headers + "Expect: 100-continue\r\nContent-Length: 5\r\n",
            "POST");
        cr_expect_eq(status_of(answer), 401U, "%s", headers.c_str());
        if (answer.has_value())
        {
            cr_expect_eq(answer->body().find("secret"), std::string::npos);
            cr_expect_eq(answer->body().find("unknown\""), std::string::npos);
        }
    }
    cr_expect_not(host.last_request().has_value());
}

Test(customer_key, public_route_needs_no_key_and_passes_no_identity_on)
{
    entry_with_customer host;
    cr_expect_eq(status_of(host.ask("/open/1", "Bilberry-Customer: c1\r\n"
                                               "Bilberry-Key: secret-1\r\n")),
                 200U);
    std::optional<request_text> const request = host.last_request();
    cr_assert(request.has_value());
    cr_expect_eq(request->count("Bilberry-Key"), 0U);
    cr_expect_eq(request->count("Bilberry-Customer"), 0U);
}

// Guards against a refusal that a host without a configuration cannot know to
// be right.
Test(customer_key, host_without_configuration_answers_503)
{
    running_server entry;
    cr_expect_eq(status_of(entry.ask("GET /s/1 HTTP/1.1\r\nHost: s\r\n"
                                     "Bilberry-Key: k\r\n\r\n")),
                 503U);
}
