#include "LoadBound.h"

#include <algorithm>
#include <cmath>

namespace borageslip {

int LoadBound::limit(double meanLoad) const
{
    // The margin absorbs rounding errors: 1.1 x 10 evaluates to just above 11, which would be rounded up to 12.
    return std::max(m_floor, static_cast<int>(std::ceil(m_multiple * meanLoad - 1e-9)));
}

}
