#include "bilberrylead/entry/entry_reducer.hpp"

#include "bilberrylead/policy/retry_time.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <optional>
#include <utility>
#include <vector>

/// Identification of customers and their limits.
namespace bilberrylead::entry
{

namespace
{

constexpr std::uint16_t status_unauthorized = 401;
constexpr std::uint16_t status_too_many_requests = 429;

/// Regions allowed by both; empty if there is none.
std::vector<region_id> common_regions(std::vector<region_id> const& one,
                                      std::vector<region_id> const& other)
{
    std::vector<region_id> common;
    std::copy_if(one.begin(), one.end(), std::back_inserter(common),
                 [&other](region_id const& region)
                 {
                     return std::find(other.begin(), other.end(), region) !=
                            other.end();
                 });
    return common;
}

} // namespace

/// Identifies the customer and checks what it may do. False if the request was
/// refused.
bool entry_reducer::admit_customer(live_request& request,
                                   config::request_route const& route,
                                   request_arrived const& event)
{
    bool const is_unknown =
        this->customers->lacks_customer(route, event.customer_key);
    if (is_unknown && event.is_relayed)
    {
        // The other host has identified the customer.
        this->refuse_relayed(event);
        return false;
    }
    if (is_unknown)
    {
        this->refuse_customer(request, event, status_unauthorized,
                              refusal_reason::unknown_customer,
                              duration::zero());
        return false;
    }
    request.regions = route.regions;
    config::customer const* const customer =
        route.is_public ? nullptr : this->customers->find(event.customer_key);
    if (customer == nullptr)
    {
        return true;
    }
    request.customer = customer->id;
    request.rank = customer->priority;
    if (!this->restrict_regions(request, customer->regions))
    {
        this->refuse_arrival(event, refusal_reason::no_common_region);
        return false;
    }
    return this->accept_within_limit(request, event);
}

/// Restricts the regions of a request to the given ones; empty is all. False if
/// none is left.
bool entry_reducer::restrict_regions(live_request& request,
                                     std::vector<region_id> const& regions)
{
    if (regions.empty())
    {
        return true;
    }
    request.regions = request.regions.empty()
                          ? regions
                          : common_regions(request.regions, regions);
    return !request.regions.empty();
}

bool entry_reducer::accept_within_limit(live_request& request,
                                        request_arrived const& event)
{
    request.holds_token =
        this->customer_limits.accept(request.customer, this->now);
    if (!request.holds_token)
    {
        ++this->current_counters.over_limit[request.customer];
        this->refuse_customer(
            request, event, status_too_many_requests,
            refusal_reason::over_limit,
            policy::retry_time(
                this->customer_limits.until_token(request.customer, this->now),
                this->host_settings.placement, this->customer_random));
    }
    return request.holds_token;
}

/// A request that was refused and has not run does not count.
void entry_reducer::return_token(live_request& request)
{
    if (std::exchange(request.holds_token, false))
    {
        this->customer_limits.give_back(request.customer, this->now);
    }
}

void entry_reducer::configure_customer_limits()
{
    this->customer_limits.begin_configuration(this->revision);
    for (config::customer const& customer : this->content->customers)
    {
        if (customer.rate > 0)
        {
            this->customer_limits.set_limit(customer.id, customer.rate,
                                            customer.burst, this->now);
        }
    }
    this->customer_limits.end_configuration();
    std::erase_if(this->current_counters.over_limit,
                  [this](std::pair<customer_id const, std::uint64_t> const& row)
                  {
                      return !this->customer_limits.has_limit(row.first);
                  });
}

void entry_reducer::report_customers()
{
    std::optional<policy::customer_report> report =
        this->customer_limits.pop_report(this->now);
    if (report.has_value())
    {
        this->pending_effects.push_back(
            send_customer_report{std::move(*report)});
    }
}

/// A new leader allocates nothing to a host before its first report.
void entry_reducer::on(leader_changed const& /*event*/)
{
    this->customer_limits.request_report();
}

void entry_reducer::on(limits_allocated const& event)
{
    this->customer_limits.apply(event.allocation, this->now);
}

void entry_reducer::refuse_customer(live_request const& request,
                                    request_arrived const& event,
                                    std::uint16_t status, refusal_reason reason,
                                    duration retry_after)
{
    request_ended end;
    end.request = event.request;
    end.routed_by = this->revision;
    end.digest = event.digest;
    end.caller = event.caller;
    end.customer = request.customer;
    end.limit_share = this->customer_limits.share(request.customer, this->now);
    end.limit_age = this->customer_limits.allocation_age(this->now);
    end.outcome = request_outcome::problem;
    end.reason = reason;
    end.status = status;
    this->pending_effects.push_back(std::move(end));
    this->answer_with_problem(event.request, {}, status, reason, retry_after);
}

} // namespace bilberrylead::entry
