#ifndef BILBERRYLEAD_LOAD_STAND_IN_BEHAVIOUR_HPP
#define BILBERRYLEAD_LOAD_STAND_IN_BEHAVIOUR_HPP

#include "bilberrylead/core/time.hpp"

#include <absl/status/status.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace bilberrylead::load
{

/// How one stand-in upstream behaves. Shares are in hundredths of its
/// requests; each request draws its lot by the seeded generator.
struct stand_in_behaviour
{
    /// Requests it runs at a time.
    std::uint32_t slots = 3;
    /// Connections it takes; more are closed at once.
    std::uint32_t connections = 330;
    /// Requests that may wait for a slot; more are shed.
    std::uint32_t queue = 1000;
    /// Mean time a request's work takes.
    duration service_time = std::chrono::milliseconds(20);
    /// Sigma of the log-normal service time, in hundredths; 0 is constant.
    std::uint32_t spread_percent = 50;
    /// How long after its start it is slow by `cold_percent`.
    duration cold_start{};
    /// Service time while cold against warm.
    std::uint32_t cold_percent = 300;
    /// Service time against usual; 500 is five times slower.
    std::uint32_t slow_percent = 100;
    /// How often its speed is drawn anew; 0: it has no slow moments.
    duration moment_period{};
    /// Share of these periods in which it is slow.
    std::uint32_t moment_share_percent = 0;
    /// Service time in a slow moment against usual.
    std::uint32_t moment_percent = 250;
    /// Figures of the load header of every answer: running, waiting, slots,
    /// and service time against usual in percent. 0: no header; 1 and 2 are
    /// unreadable.
    std::uint32_t load_figures = 0;
    /// Age of what the load endpoint shows.
    duration load_lag{};
    /// What the load endpoint shows of the slots really in use.
    std::uint32_t load_shown_percent = 100;
    /// False: the load endpoint answers 500.
    bool load_answers = true;
    /// False: the health endpoint answers 503.
    bool healthy = true;
    /// True: every answer says so and closes its connection.
    bool leaving = false;
    /// Requests a second that every answer names as its limit; 0: none.
    std::uint32_t limit_per_s = 0;
    /// Share that is shed: 503, not run.
    std::uint32_t shed_percent = 0;
    /// Rest that it asks for with each such answer; 0: none.
    duration rest{};
    /// Share whose answer comes `late` after the work is done.
    std::uint32_t late_percent = 0;
    /// How much later.
    duration late = std::chrono::seconds(1);
    /// Share that gets an earlier request's answer.
    std::uint32_t swap_percent = 0;
    /// Share that gets its answer twice.
    std::uint32_t duplicate_percent = 0;
    /// Share whose answer ends in the middle, with its connection.
    std::uint32_t cut_percent = 0;
    /// Share that runs and whose connection closes without an answer.
    std::uint32_t drop_percent = 0;
    /// Length of an answer's body unless the request says ?bytes=N.
    std::size_t answer_bytes = 512;
    /// Speed of a download; 0 is as fast as it goes.
    std::uint64_t download_bytes_per_s = 0;
    /// True: work stops when its caller closes.
    bool honours_cancellation = true;
    /// True: work stops at its deadline.
    bool honours_deadlines = true;

    friend bool operator==(stand_in_behaviour const&,
                           stand_in_behaviour const&) = default;
};

/// Takes fields from JSON with comments over; the others stay. On an error
/// nothing changes.
absl::Status change_behaviour(std::string_view text,
                              std::string_view source_name,
                              stand_in_behaviour& value);

/// All fields as JSON.
std::string render_behaviour(stand_in_behaviour const& value);

} // namespace bilberrylead::load

#endif
