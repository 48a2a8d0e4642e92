#ifndef BILBERRYLEAD_CONTROL_ADMISSION_REPORTS_HPP
#define BILBERRYLEAD_CONTROL_ADMISSION_REPORTS_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/link/messages/admission_rows.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace bilberrylead::control
{

/// The newest report of each entry host on its demand by rank and customer.
class admission_reports
{
public:
    /// A host's report.
    struct row
    {
        /// Region of the host.
        region_id region;
        /// Demand by service.
        std::vector<link::admission_rows> services;
        /// Time of receipt.
        instant received_at{};
    };

    /// A report counts for `lifetime` after its receipt.
    explicit admission_reports(duration lifetime) : lifetime(lifetime)
    {
    }

    /// Records a host's report in place of its previous one.
    void record(host_id const& host, region_id const& region,
                std::vector<link::admission_rows> const& services, instant now)
    {
        this->rows[host] = {region, services, now};
    }

    /// Forgets the reports that no longer count.
    void expire(instant now)
    {
        std::erase_if(this->rows,
                      [this, now](auto const& each)
                      {
                          return now - each.second.received_at >=
                                 this->lifetime;
                      });
    }

    /// All reports, by host.
    std::map<host_id, row> const& hosts() const
    {
        return this->rows;
    }

private:
    duration lifetime;
    std::map<host_id, row> rows;
};

} // namespace bilberrylead::control

#endif
