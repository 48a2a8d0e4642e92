// Measures what a change costs on its way to the hosts: encoding, reading,
// putting in force, and telling subscribers, each by size.
#include "bilberrylead/config/configuration.hpp"
#include "bilberrylead/config/parse_configuration.hpp"
#include "bilberrylead/distribution/revision_exchange.hpp"
#include "bilberrylead/link/message.hpp"
#include "bilberrylead/link/update_encoder.hpp"
#include "performance/slope_table.hpp"

#include <fmt/format.h>

#include <chrono>
#include <cstddef>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace bilberrylead;
using bilberrylead::performance::least_nanoseconds_of;
using bilberrylead::performance::nanoseconds_of;
using bilberrylead::performance::reference_step_nanoseconds;
using bilberrylead::performance::slope_table;

namespace
{

constexpr int rounds = 5;
constexpr std::size_t zones = 24;

/// A configuration with so many upstreams and a tenth as many entry hosts.
config::configuration sized_configuration(std::size_t upstreams)
{
    config::configuration result;
    for (std::size_t zone = 0; zone < zones; ++zone)
    {
        result.places.push_back({zone_id(fmt::format("zone-{}", zone)),
                                 region_id(fmt::format("region-{}", zone / 2)),
                                 {}});
    }
    config::service service;
    service.id = service_id("lookup");
    service.idempotent = true;
    result.services.push_back(service);
    for (std::size_t number = 0; number < upstreams; ++number)
    {
        config::upstream upstream;
        upstream.id = upstream_id(fmt::format("lookup-{}", number));
        upstream.service = service.id;
        upstream.zone = result.places[number % zones].zone;
        upstream.address = {
            fmt::format("10.{}.{}.1", number / 250, number % 250), 8080};
        upstream.labels = {{"tier", number % 2 == 0 ? "main" : "spare"}};
        result.upstreams.push_back(upstream);
    }
    for (std::size_t number = 0; number < upstreams / 10 + 1; ++number)
    {
        config::entry_host host;
        host.id = host_id(fmt::format("entry-{}", number));
        host.zone = result.places[number % zones].zone;
        host.address = {fmt::format("10.{}.{}.2", number / 250, number % 250),
                        80};
        host.peer_address = {
            fmt::format("10.{}.{}.2", number / 250, number % 250), 81};
        result.entry_hosts.push_back(host);
    }
    return result;
}

void measure_documents(double reference)
{
    slope_table size("Whole document", "bytes", "upstreams");
    slope_table wire("Whole document on a link", "bytes", "upstreams");
    slope_table render("Render a document", "ns", "upstreams");
    slope_table parse("Read and check a document", "ns", "upstreams");
    slope_table encode("Encode an update, once", "ns", "upstreams");
    slope_table again("Encode it for one more link", "ns", "upstreams");
    for (std::size_t const upstreams : {40U, 200U, 800U, 3200U, 8100U})
    {
        config::configuration const content = sized_configuration(upstreams);
        std::string const document = config::render_configuration(content);
        link::configuration_update update;
        update.target = 1;
        update.content.assign(document.begin(), document.end());
        size.add(upstreams, static_cast<double>(document.size()));
        wire.add(upstreams, static_cast<double>(link::encode(update).size()));
        render.add(upstreams, least_nanoseconds_of(
                                  rounds,
                                  [&content]()
                                  {
                                      config::render_configuration(content);
                                  }));
        parse.add(
            upstreams,
            least_nanoseconds_of(
                rounds,
                [&document]()
                {
                    if (!config::parse_configuration(document, "made").ok())
                    {
                        std::abort();
                    }
                }));
        encode.add(upstreams, least_nanoseconds_of(rounds,
                                                   [&update]()
                                                   {
                                                       link::encode(update);
                                                   }));
        link::update_encoder encoder;
        link::message const sent = update;
        encoder.encode(sent);
        again.add(upstreams, least_nanoseconds_of(rounds,
                                                  [&encoder, &sent]()
                                                  {
                                                      bytes const copy =
                                                          encoder.encode(sent);
                                                  }));
    }
    size.print(reference);
    wire.print(reference);
    render.print(reference);
    parse.print(reference);
    encode.print(reference);
    again.print(reference);
}

/// A source with so many subscribers, each of which takes content.
distribution::revision_exchange subscribed_source(std::size_t subscribers,
                                                  link::delivery wanted)
{
    distribution::exchange_settings settings;
    settings.is_source = true;
    distribution::revision_exchange source(settings);
    for (std::size_t number = 0; number < subscribers; ++number)
    {
        link::peer_identity const peer = {
            host_id(fmt::format("entry-{}", number)), link::peer_role::entry,
            1};
        source.reduce(distribution::link_opened{number, peer}, instant{});
        source.reduce(distribution::subscription_received{number, {0, wanted}},
                      instant{});
    }
    return source;
}

void measure_fan_out(link::delivery wanted, std::string const& name,
                     double reference)
{
    std::string const document =
        config::render_configuration(sized_configuration(40));
    std::shared_ptr<bytes const> const content =
        std::make_shared<bytes const>(document.begin(), document.end());
    slope_table time(name + ": tell subscribers", "ns", "subscribers");
    slope_table sent(name + ": bytes sent", "bytes", "subscribers");
    for (std::size_t const subscribers : {10U, 100U, 1000U, 5500U})
    {
        double least = 0;
        std::size_t bytes_sent = 0;
        for (int round = 0; round < rounds; ++round)
        {
            distribution::revision_exchange source =
                subscribed_source(subscribers, wanted);
            bytes_sent = 0;
            double const once = nanoseconds_of(
                [&source, &content, &bytes_sent]()
                {
                    for (distribution::exchange_effect const& effect :
                         source.reduce(
                             distribution::revision_published{1, content},
                             instant{}))
                    {
                        bytes_sent +=
                            link::encode(
                                std::get<distribution::send_message>(effect)
                                    .content)
                                .size();
                    }
                });
            least = round == 0 ? once : std::min(least, once);
        }
        time.add(subscribers, least);
        sent.add(subscribers, static_cast<double>(bytes_sent));
    }
    time.print(reference);
    sent.print(reference);
}

void measure_subscriptions(double reference)
{
    slope_table time("Take a subscription (heartbeat of one entry host)", "ns",
                     "subscriptions");
    for (std::size_t const count : {10U, 100U, 1000U, 5500U})
    {
        distribution::revision_exchange source =
            subscribed_source(count, link::delivery::announced);
        time.add(count,
                 least_nanoseconds_of(
                     rounds,
                     [&source, count]()
                     {
                         for (std::size_t number = 0; number < count; ++number)
                         {
                             source.reduce(
                                 distribution::subscription_received{
                                     number, {0, link::delivery::announced}},
                                 instant{});
                         }
                     }));
    }
    time.print(reference);
    fmt::print(
        "one subscription on the wire: {} bytes\n",
        link::encode(link::subscription{1000000, link::delivery::announced})
            .size());
}

/// An entry host's heartbeat, its plan and a listing: bytes by services and
/// by upstreams.
void measure_presence(double reference)
{
    slope_table beat("Heartbeat of an entry host", "bytes", "services");
    slope_table plan("Plan of one region (12 regions)", "bytes", "services");
    for (std::size_t const count : {3U, 30U, 100U, 300U})
    {
        link::entry_presence said;
        said.address = {"10.0.0.1", 8080};
        said.zone = zone_id("zone-1");
        said.region = region_id("region-1");
        said.in_force = 1000000;
        said.listing = {1000, 1000000};
        link::region_plan shares;
        for (std::size_t number = 0; number < count; ++number)
        {
            service_id const service(fmt::format("service-{}", number));
            said.demands.push_back({service, 250000});
            for (std::size_t region = 0; region < zones / 2; ++region)
            {
                shares.shares.push_back(
                    {service, region_id(fmt::format("region-{}", region)), 80});
            }
        }
        beat.add(count, static_cast<double>(link::encode(said).size()));
        plan.add(count, static_cast<double>(link::encode(shares).size()));
    }
    beat.print(reference);
    plan.print(reference);

    slope_table whole("Whole listing", "bytes", "upstreams");
    for (std::size_t const count : {40U, 400U, 8100U})
    {
        link::upstream_update update;
        update.changes.is_full = true;
        for (config::upstream const& each :
             sized_configuration(count).upstreams)
        {
            update.changes.put.push_back({each, {}});
        }
        whole.add(count, static_cast<double>(link::encode(update).size()));
    }
    whole.print(reference);
}

} // namespace

int main()
{
    double const reference = reference_step_nanoseconds();
    fmt::print("distribution_slopes: no randomness, least of {} rounds, "
               "reference step {:.2f} ns\n",
               rounds, reference);
    measure_documents(reference);
    measure_fan_out(link::delivery::pushed, "Content", reference);
    measure_fan_out(link::delivery::announced, "Number only", reference);
    measure_subscriptions(reference);
    measure_presence(reference);
    return 0;
}
