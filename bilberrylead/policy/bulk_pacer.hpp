#ifndef BILBERRYLEAD_POLICY_BULK_PACER_HPP
#define BILBERRYLEAD_POLICY_BULK_PACER_HPP

#include "bilberrylead/core/time.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace bilberrylead::policy
{

/// Paces the pieces of long answers so that short answers find the host's
/// link free.
///
/// Protects look-ups on an entry host whose link of a few Mbit/s also carries
/// downloads. A download of 90 KB takes 120 ms at 6 Mbit/s. Forwarded as fast
/// as its upstream sends it, it delays every packet of the host, and look-ups
/// that take 230 ms were answered after 400 ms. All bodies count against a
/// share of the link, but only the part of an answer beyond its first
/// `unpaced_bytes` waits. The queue of the link thus holds only a piece or
/// two, and short answers overtake long ones. Fixed memory, no allocation.
class bulk_pacer
{
public:
    /// Creates a pacer for a link of that many bytes a second; 0 or less
    /// disables pacing.
    explicit bulk_pacer(double link_bytes_per_second)
        : bytes_per_second(link_bytes_per_second * body_share)
    {
    }

    /// Reserves the link for the next `count` bytes of an answer of which
    /// `already_sent` bytes were forwarded before. Returns how long these bytes
    /// have to wait.
    duration reserve(std::size_t already_sent, std::size_t count, instant now)
    {
        if (this->bytes_per_second <= 0)
        {
            return duration::zero();
        }
        // Bytes due beyond the maximum wait are forwarded earlier than the pace
        // allows, so they must not delay later answers.
        instant const send_at =
            std::min<instant>(std::max(now, this->free_at), now + max_wait);
        std::chrono::duration<double> const send_time(
            static_cast<double>(count) / this->bytes_per_second);
        this->free_at =
            send_at + std::chrono::duration_cast<duration>(send_time);
        return already_sent < unpaced_bytes ? duration::zero() : send_at - now;
    }

private:
    /// Share of the link that bodies may use. The rest is for headers,
    /// heartbeats and new connections, and lets the queue drain.
    static constexpr double body_share = 0.85;
    /// First bytes of an answer, which never wait. Most look-ups are shorter.
    static constexpr std::size_t unpaced_bytes = std::size_t{16} << 10U;
    /// Maximum wait of a piece, whatever else is in flight. It keeps a slow
    /// download from being taken for a broken connection.
    static constexpr std::chrono::milliseconds max_wait{250};

    double bytes_per_second;
    instant free_at{};
};

} // namespace bilberrylead::policy

#endif
