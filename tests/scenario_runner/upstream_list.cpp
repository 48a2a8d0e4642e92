#include "upstream_list.hpp"

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/link/http_endpoint.hpp"
#include "bilberrylead/link/query.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace bilberrylead::scenario
{

namespace
{

using json = nlohmann::json;

constexpr unsigned not_found = 404;

} // namespace

/// The thread that serves the list, and what the list contains.
struct upstream_list::implementation
{
    implementation()
        : work(boost::asio::make_work_guard(this->io)),
          endpoint(this->io,
                   [this](link::http_request const& request,
                          link::http_endpoint::answer_function const& answer)
                   {
                       answer(this->answer_to(request));
                   })
    {
        if (!this->endpoint.listen({"127.0.0.1", 0}).ok())
        {
            throw std::runtime_error("the list of upstreams has no port");
        }
        this->thread = std::thread(
            [this]()
            {
                this->io.run();
            });
    }

    ~implementation()
    {
        this->io.stop();
        this->thread.join();
    }

    implementation(implementation const&) = delete;
    implementation& operator=(implementation const&) = delete;

    link::http_answer answer_to(link::http_request const& request)
    {
        link::query const asked(request.target);
        link::http_answer answer;
        if (asked.path() != "/upstreams")
        {
            answer.status = not_found;
            return answer;
        }
        std::string const zone(asked.text("zone"));
        json rows = json::array();
        std::lock_guard<std::mutex> const lock(this->mutex);
        for (config::upstream const& each : this->upstreams)
        {
            if (zone.empty() || each.zone.text() == zone)
            {
                rows.push_back({{"name", each.id.text()},
                                {"service", each.service.text()},
                                {"zone", each.zone.text()},
                                {"address", to_string(each.address)},
                                {"slots", each.slots}});
            }
        }
        answer.body = json{{"upstreams", rows}}.dump();
        return answer;
    }

    boost::asio::io_context io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work;
    link::http_endpoint endpoint;
    std::mutex mutex;
    std::vector<config::upstream> upstreams;
    std::thread thread;
};

upstream_list::upstream_list() : impl(std::make_unique<implementation>())
{
}

upstream_list::~upstream_list() = default;

std::uint16_t upstream_list::port() const
{
    return this->impl->endpoint.port();
}

void upstream_list::add(config::upstream const& upstream)
{
    std::lock_guard<std::mutex> const lock(this->impl->mutex);
    this->impl->upstreams.push_back(upstream);
}

} // namespace bilberrylead::scenario
