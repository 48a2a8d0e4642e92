#ifndef BILBERRYLEAD_TESTS_UNIT_HTTP_STEPPED_HOST_HPP
#define BILBERRYLEAD_TESTS_UNIT_HTTP_STEPPED_HOST_HPP

#include "bilberrylead/config/configuration.hpp"
#include "bilberrylead/core/process_clock.hpp"
#include "bilberrylead/core/process_seed.hpp"
#include "bilberrylead/http/caller_connection.hpp"
#include "bilberrylead/http/server_core.hpp"
#include "tests/unit/http/stepped_caller.hpp"
#include "tests/unit/http/stepped_upstream.hpp"

#include <boost/asio/io_context.hpp>

#include <sys/socket.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace bilberrylead::http
{

/// The entry host's connections, their callers and the upstreams in the
/// test's own thread. The host's clock is not started: nothing happens but
/// by the steps of the test, so nothing depends on how fast the machine is.
class stepped_host
{
    // First, because all sockets refer to it.
    boost::asio::io_context context{1};

public:
    /// A host with two upstreams of the idempotent service "s", two of "o",
    /// whose requests run once, and a service "e" that has none.
    stepped_host()
    {
        for (std::size_t made = 0; made < 4; ++made)
        {
            this->upstreams.emplace_back(this->context);
        }
    }

    ~stepped_host()
    {
        this->stop();
    }

    stepped_host(stepped_host const&) = delete;
    stepped_host& operator=(stepped_host const&) = delete;

    /// Starts anew, without any state of before.
    void start(server_settings settings)
    {
        this->stop();
        settings.entry.self = host_id("e1");
        settings.entry.zone = zone_id("z1");
        this->core = std::make_shared<server_core>(
            this->context.get_executor(), settings,
            process_seed(settings.entry.self, 1), server_core::outside_sink());
        this->core->dispatch(
            entry::configuration_received{1, this->configuration()});
    }

    /// Ends everything; false if something still holds the host.
    bool stop()
    {
        if (this->core == nullptr)
        {
            return true;
        }
        this->core->stop();
        std::weak_ptr<server_core> const last = this->core;
        this->core.reset();
        this->poll();
        for (stepped_upstream& upstream : this->upstreams)
        {
            upstream.step();
            upstream.sides.clear();
        }
        return last.expired();
    }

    /// A new caller. `send_buffer` bounds what the host can send to one that
    /// does not read; 0 leaves it as the system has it.
    std::unique_ptr<stepped_caller> connect(int send_buffer = 0)
    {
        std::array<int, 2> ends{};
        cr_assert_eq(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()), 0);
        if (send_buffer > 0)
        {
            ::setsockopt(ends[0], SOL_SOCKET, SO_SNDBUF, &send_buffer,
                         sizeof(send_buffer));
        }
        tcp_socket accepted(this->context.get_executor());
        accepted.assign(tcp::v4(), ends[0]);
        std::shared_ptr<caller_connection> const served =
            std::make_shared<caller_connection>(this->core,
                                                std::move(accepted));
        served->begin();
        std::unique_ptr<stepped_caller> caller =
            std::make_unique<stepped_caller>(ends[1], served);
        this->callers.push_back(caller.get());
        return caller;
    }

    /// Forgets a caller, which must happen before its end.
    void forget(stepped_caller const& caller)
    {
        std::erase(this->callers, &caller);
    }

    /// Lets each side do what it can now; true if anything happened.
    bool step()
    {
        bool moved = this->poll();
        // Answers first: a request that arrives at an upstream now may have
        // been dispatched because its forerunner's answer had been sent.
        for (stepped_caller* const caller : this->callers)
        {
            moved = caller->step() || moved;
        }
        for (stepped_upstream& upstream : this->upstreams)
        {
            moved = upstream.step() || moved;
        }
        if (this->after_step)
        {
            this->after_step();
        }
        return moved;
    }

    /// Steps until nothing happens any more.
    void settle()
    {
        while (this->step())
        {
        }
    }

    /// Steps until the condition holds, for 20 s at most. Whatever waits
    /// for a packet of the kernel gets the time for it.
    template <class Condition>
    bool run_until(Condition condition)
    {
        instant const give_up = clock_now() + std::chrono::seconds(20);
        unsigned idle = 0;
        while (not condition() && clock_now() < give_up)
        {
            idle = this->step() ? 0 : idle + 1;
            if (idle > 50)
            {
                this->context.restart();
                this->context.run_one_for(std::chrono::milliseconds(1));
            }
            else if (idle > 0)
            {
                std::this_thread::yield();
            }
        }
        return condition();
    }

    /// Sends a text from a caller and asserts that then so many requests are
    /// at upstreams.
    void send(stepped_caller& caller, std::string const& text,
              std::size_t at_upstreams)
    {
        cr_assert(caller.send(text));
        cr_assert(this->run_until(
            [this, at_upstreams]
            {
                return this->unanswered().size() == at_upstreams;
            }));
        this->settle();
        cr_assert_eq(this->unanswered().size(), at_upstreams);
    }

    /// Requests that upstreams have read and not answered.
    std::vector<upstream_side*> unanswered()
    {
        std::vector<upstream_side*> found;
        for (stepped_upstream& upstream : this->upstreams)
        {
            for (upstream_side& side : upstream.sides)
            {
                if (side.request.has_value() && not side.ended)
                {
                    found.push_back(&side);
                }
            }
        }
        return found;
    }

    /// What the host counts.
    http_counters const& counters() const
    {
        return this->core->counters();
    }

    /// Called after each step.
    std::function<void()> after_step;
    std::shared_ptr<server_core> core;
    std::list<stepped_upstream> upstreams;

private:
    bool poll()
    {
        this->context.restart();
        return this->context.poll() > 0;
    }

    std::shared_ptr<config::configuration> configuration()
    {
        std::shared_ptr<config::configuration> made =
            std::make_shared<config::configuration>();
        for (std::string const name : {"s", "o", "e"})
        {
            config::service service;
            service.id = service_id(name);
            service.idempotent = name != "o";
            service.deadline = std::chrono::minutes(10);
            service.progress_timeout = std::chrono::minutes(10);
            made->services.push_back(service);
        }
        made->places.push_back({zone_id("z1"), region_id("r1"), {}});
        config::entry_host self;
        self.id = host_id("e1");
        self.zone = zone_id("z1");
        made->entry_hosts.push_back(self);
        std::size_t place = 0;
        for (stepped_upstream const& each : this->upstreams)
        {
            config::upstream upstream;
            upstream.id = upstream_id("u" + std::to_string(place));
            upstream.service = service_id(place < 2 ? "s" : "o");
            upstream.zone = zone_id("z1");
            upstream.address = {"127.0.0.1", each.port()};
            upstream.slots = 256;
            made->upstreams.push_back(upstream);
            ++place;
        }
        return made;
    }

    std::vector<stepped_caller*> callers;
};

} // namespace bilberrylead::http

#endif
