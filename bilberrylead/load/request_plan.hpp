#ifndef BILBERRYLEAD_LOAD_REQUEST_PLAN_HPP
#define BILBERRYLEAD_LOAD_REQUEST_PLAN_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/load/load_profile.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bilberrylead::load
{

/// One request as the plan has it, before anything is known of its fate.
struct planned_request
{
    /// Its number, from 0.
    std::uint64_t number = 0;
    /// When it starts, from the run's start.
    duration start{};
    /// Position of its kind in the profile.
    std::size_t kind = 0;
    /// Who sends it, unique over all groups.
    std::string caller;
    /// Key of the customer that it is sent for; empty for none.
    std::string customer_key;
    /// Address it is sent from; empty leaves it to the system.
    std::string source;
    /// True: it may use and leave an open connection.
    bool keep_alive = true;
    /// True: it is sent a second time with its key after its answer.
    bool resend = false;
    /// Seed of what its caller decides later.
    std::uint64_t seed = 0;
};

/// Lays out a run: arrivals at random (Poisson) at the profile's rate,
/// kinds by weight, callers with their heavy few. The same profile gives
/// the same plan, whatever the system answers.
class request_plan
{
public:
    /// Plans a profile, which must outlive the plan and have passed
    /// parse_load_profile.
    explicit request_plan(load_profile const& source);

    /// The next request, or nothing after the run's length.
    std::optional<planned_request> next();

private:
    double rate_at(duration time) const;
    template <class Row>
    std::size_t draw_by_weight(std::vector<Row> const& rows,
                               std::uint64_t weights);
    std::size_t draw_kind();
    void draw_customer(planned_request& request);
    void draw_caller(std::string const& group, planned_request& request);
    bool draw_share(std::uint32_t percent);

    load_profile const* profile;
    std::mt19937_64 random;
    std::uint32_t weight_sum = 0;
    std::uint64_t customer_weight_sum = 0;
    double time_s = 0;
    std::uint64_t count = 0;
};

} // namespace bilberrylead::load

#endif
