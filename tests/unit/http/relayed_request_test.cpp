#include "tests/unit/http/http_fixture.hpp"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::http;

namespace
{

/// A port on which nothing listens.
std::uint16_t closed_port()
{
    boost::asio::io_context context;
    tcp::acceptor const acceptor(context,
                                 {boost::asio::ip::address_v4::loopback(), 0});
    return acceptor.local_endpoint().port();
}

/// An entry host that reaches none of its upstreams, and one that reaches its
/// upstream. Both know a customer.
struct two_entry_hosts
{
    explicit two_entry_hosts(std::vector<region_id> const& regions = {})
    {
        auto const add_customer = [](config::configuration& content)
        {
            config::request_route route;
            route.host = "s";
            route.path_prefix = "/s/";
            route.idempotent = true;
            route.targets = {{service_id("s"), 1}};
            route.timeout = 2s;
            content.request_routes = {route, route};
            content.request_routes.back().path_prefix = "/bound/";
            content.customers = {
                {customer_id("c1"), {"secret-1"}, 0, 0, 0, {}}};
        };
        this->cut_off.adjust = [&](config::configuration& content)
        {
            add_customer(content);
            content.request_routes.back().regions = regions;
        };
        this->sound.adjust = add_customer;
        this->cut_off.configure({closed_port(), closed_port()});
        this->sound.configure({this->upstream.port()});
        entry::relay_host host;
        host.id = host_id("e2");
        host.address = {"127.0.0.1", this->sound.server->port()};
        host.region = regions.empty() ? region_id("r1") : regions.front();
        this->cut_off.dispatch(entry::relay_hosts_received{{host}});
        // The failed attempts show that the way to all upstreams is lost.
        for (int attempt = 0; attempt < 4; ++attempt)
        {
            this->ask("/s/first");
        }
    }

    std::optional<answer_text> ask(std::string const& target,
                                   std::string const& key = "secret-1",
                                   std::string const& headers = {})
    {
        return this->cut_off.ask(
            "POST " + target + " HTTP/1.1\r\nHost: s\r\nBilberry-Key: " + key +
            "\r\nContent-Length: 4\r\n" + headers + "\r\nbody");
    }

    std::mutex guard;
    std::optional<request_text> last;
    /// What the upstream sends instead of an answer, if it is not empty.
    std::string broken_answer;
    fake_upstream upstream{
        [this](wire& connection, int)
        {
            while (std::optional<request_text> const request =
                       connection.request())
            {
                std::lock_guard<std::mutex> const lock(this->guard);
                this->last = request;
                connection.send(
                    this->broken_answer.empty()
                        ? whole_answer_text(request->body() + " read")
                        : this->broken_answer);
            }
        }};
    running_server sound;
    running_server cut_off;
};

} // namespace

// Guards against a request that changes on its way over two entry hosts, and
// against headers between these that reach an upstream.
Test(relayed_request, arrives_whole_and_without_internal_headers)
{
    two_entry_hosts hosts;
    std::optional<answer_text> const answer =
        hosts.ask("/s/x?y=1", "secret-1", "X-Own: kept\r\n");
    cr_assert(answer.has_value());
    cr_expect_eq(answer->result_int(), 200U);
    cr_expect_eq(answer->body(), "body read");
    std::lock_guard<std::mutex> const lock(hosts.guard);
    cr_assert(hosts.last.has_value());
    cr_expect(hosts.last->target() == "/s/x?y=1");
    cr_expect((*hosts.last)["X-Own"] == "kept");
    cr_expect((*hosts.last)["Bilberry-Customer"] == "c1");
    cr_expect((*hosts.last)["Bilberry-Key"].empty());
    cr_expect((*hosts.last)["Bilberry-Relayed"].empty());
}

Test(relayed_request, refusal_of_the_other_host_reaches_the_caller)
{
    two_entry_hosts hosts;
    hosts.sound.configure({});
    std::optional<answer_text> const answer = hosts.ask("/s/x");
    cr_assert(answer.has_value());
    cr_expect_eq(answer->result_int(), 503U);
    cr_expect((*answer)["Bilberry-Outcome"] == "not-run",
              "the outcome is the other host's");
    cr_expect_not((*answer)["Retry-After"].empty());
}

// Guards against an unknown key that is let in by way of another host.
Test(relayed_request, unknown_key_is_refused_here)
{
    two_entry_hosts hosts;
    std::optional<answer_text> const answer = hosts.ask("/s/x", "wrong");
    cr_assert(answer.has_value());
    cr_expect_eq(answer->result_int(), 401U);
}

// Guards against a request that runs outside its regions, as the other host
// does not know of these yet.
Test(relayed_request, is_bound_to_the_regions_known_to_the_first_host)
{
    two_entry_hosts here({region_id("r1"), region_id("r2")});
    std::optional<answer_text> answer = here.ask("/bound/x");
    cr_assert(answer.has_value());
    cr_expect_eq(answer->result_int(), 200U);
    {
        std::lock_guard<std::mutex> const lock(here.guard);
        cr_assert(here.last.has_value());
        cr_expect((*here.last)["Bilberry-Regions"].empty());
        cr_expect((*here.last)["Bilberry-Revision"].empty());
    }
    two_entry_hosts elsewhere({region_id("r2")});
    answer = elsewhere.ask("/bound/x");
    cr_assert(answer.has_value());
    cr_expect_eq(answer->result_int(), 503U);
}

// Guards against a status without meaning that one entry host reads and another
// one passes on.
Test(relayed_request, invalid_status_reaches_no_caller)
{
    two_entry_hosts hosts;
    for (std::string const status : {"000", "099", "600", "999"})
    {
        {
            std::lock_guard<std::mutex> const lock(hosts.guard);
            hosts.broken_answer =
                "HTTP/1.1 " + status + " No\r\nContent-Length: 0\r\n\r\n";
        }
        std::optional<answer_text> const answer = hosts.ask("/s/x");
        cr_assert(answer.has_value());
        cr_expect_eq(answer->result_int(), 502U, "%u for %s",
                     answer->result_int(), status.c_str());
        cr_expect((*answer)["Bilberry-Outcome"] == "unknown");
    }
}
