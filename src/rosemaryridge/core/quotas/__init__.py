"""Keep the operations of each business within its quota, over all proxies.

`Quotas` is in `quotas.service`, which only processes with quotas load.
"""

from rosemaryridge.core.quotas._policy import QuotaPolicy

__all__ = ["QuotaPolicy"]
