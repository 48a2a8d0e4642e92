#include "bilberrylead/load/request_plan.hpp"

#include "bilberrylead/config/address_block.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace bilberrylead::load
{

namespace
{

constexpr std::uint32_t whole = 100;

/// While a burst of rate 0 lasts, how far to look ahead for its end.
constexpr double idle_step_s = 0.001;

/// The address of the caller's own within a block; 0 and 255 are left out,
/// so that a /24 gives 254.
std::string address_in(std::string const& block, std::uint64_t index)
{
    std::optional<config::address_block> const parsed =
        config::parse_address_block(block);
    if (!parsed.has_value())
    {
        return {};
    }
    constexpr std::uint64_t usable = 254;
    config::address_block address = config::masked(*parsed);
    std::uint8_t const last = static_cast<std::uint8_t>(1 + index % usable);
    address.first.back() =
        static_cast<std::uint8_t>(address.first.back() | last);
    constexpr std::uint8_t all_bits = 128;
    address.prefix_bits = all_bits;
    std::string const text = to_string(address);
    return text.substr(0, text.find('/'));
}

} // namespace

request_plan::request_plan(load_profile const& source)
    : profile(&source), random(source.seed)
{
    for (request_kind const& each : source.requests)
    {
        this->weight_sum += each.weight;
    }
    for (customer_share const& each : source.customers)
    {
        this->customer_weight_sum += each.weight;
    }
}

std::optional<planned_request> request_plan::next()
{
    std::exponential_distribution<double> gap(1);
    double left = gap(this->random);
    double const length_s =
        std::chrono::duration<double>(this->profile->length).count();
    double rate = this->rate_at(std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(this->time_s)));
    while (rate <= 0 && this->time_s < length_s)
    {
        this->time_s += idle_step_s;
        rate = this->rate_at(std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(this->time_s)));
    }
    this->time_s += rate > 0 ? left / rate : length_s;
    if (this->time_s >= length_s)
    {
        return std::nullopt;
    }
    planned_request request;
    request.number = this->count++;
    request.start = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(this->time_s));
    request.kind = this->draw_kind();
    request_kind const& kind = this->profile->requests[request.kind];
    this->draw_caller(kind.callers, request);
    request.keep_alive = this->draw_share(this->profile->keep_alive_percent);
    request.resend = kind.guarded && this->draw_share(kind.resend_percent);
    this->draw_customer(request);
    request.seed = this->random();
    return request;
}

double request_plan::rate_at(duration time) const
{
    double rate = this->profile->rate_per_s;
    for (load_burst const& each : this->profile->bursts)
    {
        if (time >= each.start && time < each.start + each.length)
        {
            rate = rate * each.rate_percent / whole;
        }
    }
    return rate;
}

/// Draws the index of a row in proportion to the rows' weights.
template <class Row>
std::size_t request_plan::draw_by_weight(std::vector<Row> const& rows,
                                         std::uint64_t weights)
{
    std::uint64_t lot = this->random() % weights;
    std::size_t index = 0;
    while (lot >= rows[index].weight)
    {
        lot -= rows[index].weight;
        ++index;
    }
    return index;
}

std::size_t request_plan::draw_kind()
{
    return this->draw_by_weight(this->profile->requests, this->weight_sum);
}

/// Draws nothing without customers, so that such plans stay as they were.
void request_plan::draw_customer(planned_request& request)
{
    if (this->customer_weight_sum == 0)
    {
        return;
    }
    std::vector<customer_share> const& customers = this->profile->customers;
    request.customer_key =
        customers[this->draw_by_weight(customers, this->customer_weight_sum)]
            .key;
}

void request_plan::draw_caller(std::string const& group,
                               planned_request& request)
{
    auto const found = std::find_if(this->profile->callers.begin(),
                                    this->profile->callers.end(),
                                    [&group](caller_group const& each)
                                    {
                                        return each.name == group;
                                    });
    std::uint64_t const light = found->callers - found->heavy_callers;
    bool const heavy = found->heavy_callers > 0 &&
                       (light == 0 || this->draw_share(found->heavy_percent));
    std::uint64_t const lot = this->random();
    std::uint64_t const index =
        heavy ? lot % found->heavy_callers : found->heavy_callers + lot % light;
    request.caller = fmt::format("{}-{}", found->name, index);
    request.source = address_in(found->source_block, index);
}

bool request_plan::draw_share(std::uint32_t percent)
{
    return this->random() % whole < percent;
}

} // namespace bilberrylead::load
