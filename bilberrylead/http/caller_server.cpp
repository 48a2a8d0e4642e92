#include "bilberrylead/http/caller_server.hpp"

#include "bilberrylead/http/caller_connection.hpp"
#include "bilberrylead/http/server_core.hpp"
#include "bilberrylead/link/open_acceptor.hpp"

#include <boost/asio/basic_socket_acceptor.hpp>

#include <chrono>
#include <string>
#include <utility>

namespace bilberrylead::http
{

namespace
{

using tcp_acceptor = asio::basic_socket_acceptor<asio::ip::tcp, executor>;

/// After a failed accept (no file descriptors left) trying again at once
/// would only burn the processor.
constexpr duration accept_pause = std::chrono::milliseconds(20);

} // namespace

struct caller_server::implementation
    : std::enable_shared_from_this<caller_server::implementation>
{
    implementation(executor const& place, server_settings chosen,
                   process_seed const& seed, outside_sink outside)
        : core(std::make_shared<server_core>(place, std::move(chosen), seed,
                                             std::move(outside))),
          acceptor(place), pause(place)
    {
    }

    void accept_next();

    std::shared_ptr<server_core> core;
    tcp_acceptor acceptor;
    wait_timer pause;
};

void caller_server::implementation::accept_next()
{
    this->acceptor.async_accept(
        [self = this->shared_from_this()](error_code error,
                                          tcp_socket socket) noexcept
        {
            if (!self->acceptor.is_open())
            {
                return;
            }
            if (!error)
            {
                std::make_shared<caller_connection>(self->core,
                                                    std::move(socket))
                    ->begin();
                self->accept_next();
                return;
            }
            self->pause.expires_after(accept_pause);
            self->pause.async_wait(
                [self](error_code stopped) noexcept
                {
                    if (!stopped && self->acceptor.is_open())
                    {
                        self->accept_next();
                    }
                });
        });
}

caller_server::caller_server(boost::asio::io_context& context,
                             server_settings chosen, process_seed const& seed,
                             outside_sink outside)
    : inner(std::make_shared<implementation>(
          context.get_executor(), std::move(chosen), seed, std::move(outside)))
{
}

caller_server::~caller_server()
{
    error_code ignored;
    this->inner->acceptor.close(ignored);
    this->inner->pause.cancel();
    this->inner->core->stop();
}

absl::Status caller_server::listen()
{
    absl::Status opened = link::open_acceptor(
        this->inner->acceptor, this->inner->core->settings().listen);
    if (!opened.ok())
    {
        return opened;
    }
    this->inner->core->set_stop_accepting(
        [inner = std::weak_ptr(this->inner)]
        {
            if (std::shared_ptr<implementation> const self = inner.lock())
            {
                error_code ignored;
                self->acceptor.close(ignored);
            }
        });
    this->inner->core->begin();
    this->inner->accept_next();
    return absl::OkStatus();
}

std::uint16_t caller_server::port() const
{
    error_code error;
    asio::ip::tcp::endpoint const place =
        this->inner->acceptor.local_endpoint(error);
    return error ? 0 : place.port();
}

void caller_server::dispatch(entry::event happened)
{
    this->inner->core->dispatch(std::move(happened));
}

bilberrylead::revision caller_server::revision_in_force() const
{
    return this->inner->core->decisions().revision_in_force();
}

policy::crash_history const& caller_server::crash_history() const
{
    return this->inner->core->decisions().crash_records();
}

std::map<service_id, double> caller_server::demands() const
{
    return this->inner->core->decisions().demands();
}

std::vector<policy::admission_demand> caller_server::admission_demands() const
{
    return this->inner->core->decisions().admission_demands();
}

bool caller_server::ready() const
{
    return this->inner->core->decisions().ready();
}

entry::entry_counters const& caller_server::decision_counters() const
{
    return this->inner->core->decisions().counters();
}

http_counters const& caller_server::connection_counters() const
{
    return this->inner->core->counters();
}

} // namespace bilberrylead::http
