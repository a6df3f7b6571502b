#include "claims/partition_journal.h"

#include "claims/partition_journal_impl.h"

namespace limpetlever {

template class basic_partition_journal<claim_rules>;

}  // namespace limpetlever
