#include "fake_control_host.hpp"

#include "bilberrylead/control/operator_reply.hpp"
#include "bilberrylead/control/operator_request.hpp"
#include "bilberrylead/control/refusals.hpp"
#include "bilberrylead/core/error.hpp"
#include "bilberrylead/daemon/operator_api.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include <atomic>
#include <optional>
#include <thread>
#include <utility>

namespace bilberrylead::ctl::tests
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using error_code = boost::system::error_code;

} // namespace

struct fake_control_host::implementation
{
    explicit implementation(std::vector<change_handling> wanted)
        : plan(std::move(wanted)),
          acceptor(io, {asio::ip::make_address("127.0.0.1"), 0})
    {
        this->server = std::thread(
            [this]()
            {
                this->serve();
            });
    }

    ~implementation()
    {
        this->stopping = true;
        // Wakes the accept that waits.
        asio::ip::tcp::socket waker(this->io);
        error_code ignored;
        waker.connect(this->acceptor.local_endpoint(), ignored);
        this->server.join();
    }

    void serve()
    {
        while (!this->stopping)
        {
            asio::ip::tcp::socket caller(this->io);
            error_code error;
            this->acceptor.accept(caller, error);
            if (!error && !this->stopping)
            {
                this->serve(caller);
            }
        }
    }

    void serve(asio::ip::tcp::socket& caller)
    {
        boost::beast::flat_buffer buffer;
        http::request<http::string_body> request;
        error_code error;
        http::read(caller, buffer, request, error);
        if (error)
        {
            return;
        }
        std::optional<control::operator_reply> const reply = this->reply_to(
            {std::string(request.method_string()),
             std::string(request.target()), std::string(), request.body()});
        if (!reply.has_value())
        {
            return;
        }
        link::http_answer const answer = daemon::write_operator_reply(*reply);
        http::response<http::string_body> response(
            http::int_to_status(answer.status), 11, answer.body);
        response.prepare_payload();
        http::write(caller, response, error);
    }

    std::optional<control::operator_reply>
    reply_to(link::http_request const& request)
    {
        absl::StatusOr<control::operator_request> const read =
            daemon::read_operator_request(request, "lia");
        if (!read.ok())
        {
            return read.status();
        }
        if (control::submit_change const* const change =
                std::get_if<control::submit_change>(&*read))
        {
            return this->handle(change->change);
        }
        catalog::stored_revision const* const newest =
            this->configurations.current();
        return newest == nullptr ? control::configuration_reply{}
                                 : control::configuration_reply{
                                       newest->number, newest->document};
    }

    std::optional<control::operator_reply>
    handle(catalog::change_command const& change)
    {
        std::size_t const number = this->changes++;
        change_handling const wanted = number < this->plan.size()
                                           ? this->plan[number]
                                           : change_handling::answer;
        catalog::change_outcome outcome = this->configurations.apply(change);
        switch (wanted)
        {
        case change_handling::cut_answer:
            return std::nullopt;
        case change_handling::outcome_unknown:
            return make_error(error_kind::timeout, "The leadership was lost.",
                              "Send it again.");
        case change_handling::disk_failed:
            return make_error(error_kind::storage, "The data folder failed.",
                              "Send it again.");
        case change_handling::refuse_and_accept_from_other:
            return control::not_leader(host_id("c2"));
        default:
            return outcome;
        }
    }

    std::vector<change_handling> plan;
    catalog::catalog configurations{catalog::catalog_settings{}};
    std::atomic<std::size_t> changes = 0;
    std::atomic<bool> stopping = false;
    asio::io_context io{1};
    asio::ip::tcp::acceptor acceptor;
    std::thread server;
};

fake_control_host::fake_control_host(std::vector<change_handling> plan)
    : impl(std::make_unique<implementation>(std::move(plan)))
{
}

fake_control_host::~fake_control_host() = default;

std::string fake_control_host::address() const
{
    return fmt::format("127.0.0.1:{}",
                       this->impl->acceptor.local_endpoint().port());
}

catalog::catalog const& fake_control_host::decided() const
{
    return this->impl->configurations;
}

std::size_t fake_control_host::sent_changes() const
{
    return this->impl->changes;
}

} // namespace bilberrylead::ctl::tests
