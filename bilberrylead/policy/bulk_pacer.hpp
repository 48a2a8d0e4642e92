#ifndef BILBERRYLEAD_POLICY_BULK_PACER_HPP
#define BILBERRYLEAD_POLICY_BULK_PACER_HPP

#include "bilberrylead/core/time.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace bilberrylead::policy
{

/// When the next piece of a long answer may be passed on, so that short
/// answers find the host's link free.
///
/// Load it answers: an entry host on a link of a few Mbit/s that carries
/// downloads and look-ups. A download of 90 KB takes 120 ms there at
/// 6 Mbit/s; passed on as fast as its upstream sends it, every packet of the
/// host waits behind it, and look-ups of 230 ms were answered after 400 ms.
/// All bodies count against a share of the link, but only what an answer has
/// beyond its beginning waits, so the queue in front of the link stays as
/// short as a piece or two and short answers pass long ones. Fixed memory,
/// no allocation.
class bulk_pacer
{
public:
    /// Paces for a link of that many bytes a second; 0 or less: no pace.
    explicit bulk_pacer(double link_bytes_per_second)
        : bytes_per_second(link_bytes_per_second * body_share)
    {
    }

    /// Notes that an answer's next `count` bytes are passed on, and tells how
    /// long they have to wait; `passed` bytes of that answer went before.
    duration reserve(std::size_t already_sent, std::size_t count, instant now)
    {
        if (this->bytes_per_second <= 0)
        {
            return duration::zero();
        }
        // What is owed beyond the longest wait was passed on already, so it
        // must not hold up answers that come later.
        instant const send_at =
            std::min<instant>(std::max(now, this->free_at), now + max_wait);
        std::chrono::duration<double> const send_time(
            static_cast<double>(count) / this->bytes_per_second);
        this->free_at =
            send_at + std::chrono::duration_cast<duration>(send_time);
        return already_sent < unpaced_bytes ? duration::zero() : send_at - now;
    }

private:
    /// Share of the link that bodies may fill: the rest is for heads,
    /// heartbeats and new connections, and lets the queue drain.
    static constexpr double body_share = 0.85;
    /// Bytes of an answer that never wait. Most look-ups are shorter.
    static constexpr std::size_t unpaced_bytes = std::size_t{16} << 10U;
    /// A piece that waited so long goes, whatever else is under way: a
    /// download is slow then, but not taken for dead.
    static constexpr std::chrono::milliseconds max_wait{250};

    double bytes_per_second;
    instant free_at{};
};

} // namespace bilberrylead::policy

#endif
