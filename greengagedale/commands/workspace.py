"""`greengagedale workspace`: declares and shows workspaces."""

from greengagedale.commands import declarations

app = declarations.command_group(
    "workspace", "Delete a workspace; its requests are refused from then on."
)
