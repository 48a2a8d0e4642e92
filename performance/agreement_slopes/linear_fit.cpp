#include "linear_fit.hpp"

#include <algorithm>
#include <cmath>

namespace bilberrylead::agreement_slopes
{

linear_fit::linear_fit(std::vector<sample> const& samples)
{
    double const count = static_cast<double>(samples.size());
    double sizes = 0;
    double costs = 0;
    double squares = 0;
    double products = 0;
    for (sample const& one : samples)
    {
        sizes += one.size;
        costs += one.cost;
        squares += one.size * one.size;
        products += one.size * one.cost;
    }
    this->slope =
        (count * products - sizes * costs) / (count * squares - sizes * sizes);
    this->intercept = (costs - this->slope * sizes) / count;
    for (sample const& one : samples)
    {
        double const line = this->intercept + this->slope * one.size;
        this->residual =
            std::max(this->residual, std::abs(line - one.cost) / one.cost);
    }
}

} // namespace bilberrylead::agreement_slopes
